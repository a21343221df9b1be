// Messages between ivystep's own processes. One Frame carries one message.
namespace py gen

// Sent first in both directions. The side that connects names in addressee_id the
// process that it means; older releases leave it out.
struct Hello {
  1: string process_id
  2: string incarnation
  3: string role
  4: i64 setup_version
  5: optional string addressee_id
}

struct AdapterId {
  1: string account
  2: string name
  3: i64 version
}

struct RunAttempt {
  1: string attempt_id
  2: string request_id
  3: string account
  4: string application
  5: optional AdapterId adapter
  6: string sidecar_incarnation
  7: string path
  8: binary body
  9: bool stream
  10: bool idempotent
  11: i64 budget_ms
  12: binary fingerprint
  13: i64 setup_version
  14: optional bool isolated
}

struct AttemptAccepted {
  1: string attempt_id
}

struct AnswerHead {
  1: string attempt_id
  2: i32 status
  3: string content_type
}

// offset is the number of bytes of the answer before this chunk.
struct AnswerChunk {
  1: binary data
  2: string attempt_id
  3: i64 offset
}

struct AnswerEnd {
  1: string attempt_id
  2: optional AdapterId adapter
  3: string engine_incarnation
  4: i64 length
}

struct AttemptFailed {
  1: string attempt_id
  2: string code
  3: string reason
  4: string ran
  5: i32 status
  6: optional i64 retry_after_ms
  7: bool engine_lost
  8: optional string engine_incarnation
}

struct RevokeAttempt {
  1: string attempt_id
  2: string sidecar_incarnation
}

struct AttemptState {
  1: string attempt_id
  2: string ran
}

// sidecar_incarnation is that of the status on which the order is based; older
// releases leave it out.
struct LoadAdapter {
  1: AdapterId adapter
  2: string source
  3: list<AdapterId> evict
  4: string planner
  5: i64 setup_version
  6: optional string sidecar_incarnation
}

struct LoadResult {
  1: bool ok
  2: string code
  3: string reason
}

struct Watch {
}

struct Resident {
  1: AdapterId adapter
  2: i32 running
}

struct CrashFingerprint {
  1: binary fingerprint
  2: string engine_incarnation
  3: i64 age_ms
}

struct UpstreamStatus {
  1: string upstream
  2: string sidecar_incarnation
  3: string engine_incarnation
  4: i64 sequence
  5: bool healthy
  6: bool draining
  7: i32 running
  8: i32 slots
  9: i32 max_running
  10: list<Resident> resident
  11: optional AdapterId loading
  12: i64 setup_version
  13: list<CrashFingerprint> crash_fingerprints
}

struct AdapterDemand {
  1: AdapterId adapter
  2: string source
  3: i64 setup_version
  4: double weight
  5: i32 waiting
  6: i64 oldest_wait_ms
  7: i64 start_within_ms
  8: i32 arrivals
  9: optional i32 running
  10: optional i64 aim_within_ms
  11: optional double timely_value
  12: optional double late_value
  13: optional list<string> software_versions
}

struct Demand {
  1: string pool
  2: string entry_id
  3: list<AdapterDemand> demands
}

struct LoadForecast {
  1: AdapterId adapter
  2: i64 ready_in_ms
  3: i64 retry_after_ms
}

struct DemandAccepted {
  1: list<LoadForecast> forecasts
}

// An adapter that an upstream holds, is loading, or no longer holds.
struct AdapterNews {
  1: AdapterId adapter
  2: string upstream
  3: bool held
  4: i32 ready_in_ms
}

// How far the leader has followed a table of the store. complete_at_ms is on the
// store's steady clock.
struct TableProgress {
  1: string table
  2: i64 era
  3: i64 version
  4: i64 complete_at_ms
}

// The leader's last renewal of its lease: token and version of the row, and the
// time since it was sent.
struct LeaseRenewal {
  1: i64 token
  2: i64 version
  3: i64 age_ms
}

// How the requests of a service at the receiving host are shared among data
// centres. A service without shares keeps to the rule of the hosts.
struct CentreShares {
  1: string service_name
  2: map<string, double> share_by_data_centre
}

// Requests of a service that arrived at one host since its last message. unmet
// counts those that found no capacity in the data centre drawn for them.
struct ServiceArrivals {
  1: string service_name
  2: i32 arrivals
  3: i32 unmet
}

// What one host tells of its data centre. round_trip_us is its smallest time to
// connect to upstreams of each data centre.
struct CentreReport {
  1: string data_centre
  2: list<ServiceArrivals> arrivals
  3: map<string, i32> round_trip_us
}

// Sent by the leader to every entry that watches it, at least as a heartbeat.
// running is the number of requests of all entries by upstream; hosts is the
// number of watching entries, including the leader.
struct News {
  1: list<AdapterNews> items
  2: map<string, i32> running
  3: i32 hosts
  4: optional list<TableProgress> tables
  5: optional LeaseRenewal renewal
  6: optional list<CentreShares> centre_shares
}

// A prompt that an engine prefilled alone.
struct PrefillSample {
  1: string engine
  2: i32 tokens
  3: i32 first_event_us
  4: optional i32 fill_percent
}

// The answer to a request that was sent since_us after its adapter was expected
// to be resident.
struct LoadAnswer {
  1: string upstream
  2: string adapter
  3: i32 since_us
  4: bool held
}

// Running requests of one entry by upstream, and what it has measured since its
// last message; sent to the leader.
struct HostLoad {
  1: string host
  2: map<string, i32> running
  3: optional list<PrefillSample> prefills
  4: optional list<LoadAnswer> load_answers
  5: optional CentreReport centre
}

struct SetupNotice {
  1: i64 version
}

struct GetManifest {
}

struct Manifest {
  1: i64 version
  2: map<string, string> digest_by_section
}

struct GetSection {
  1: string digest
}

struct Section {
  1: optional binary body
}

// Asks the leader for permission to send a prompt to an engine. The leader
// answers when the engine can prefill the prompt. After wait_ms it answers that
// there is no permission yet; the host may ask again.
struct PermitRequest {
  1: string engine
  2: i32 tokens
  3: i32 aim_within_ms
  4: i32 start_within_ms
  5: double value_rate
  6: i32 max_gap_ms
  7: double tokens_per_s
  8: i32 wait_ms
  9: optional bool is_repeated
  10: optional string account
  11: optional i32 priority
}

// leave is a value of prefill.prefill.PermitDecision.
struct Permit {
  1: string engine
  2: string leave
  3: optional i32 retry_after_ms
}

// What a host tells the leader about an account with a quota. The totals count
// from the start of the host's incarnation; see quotas/reports.py.
struct AccountReport {
  1: string account
  2: optional i64 spent
  3: optional i64 returned
  4: optional i64 refunded
  5: optional i64 fallback
  6: optional list<i64> waiting
  7: optional i64 ahead
  8: optional i64 unit
  9: optional bool is_closing
}

struct QuotaReport {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  4: i64 answered
  5: i64 term
  6: double share
  7: i32 hosts
  8: optional list<AccountReport> accounts
}

struct AccountGrant {
  1: string account
  2: i64 granted
  3: i64 level
  4: double rate_per_s
  5: bool is_limited
}

// The leader's answer to a QuotaReport. term is 0 if it is not the leader.
struct QuotaGrants {
  1: i64 term
  2: i64 incarnation
  3: i64 sequence
  4: double share
  5: i32 hosts
  6: optional list<AccountGrant> accounts
}

struct Frame {
  1: optional Hello hello
  2: optional RunAttempt run_attempt
  3: optional AttemptAccepted attempt_accepted
  4: optional AnswerHead answer_head
  5: optional AnswerChunk answer_chunk
  6: optional AnswerEnd answer_end
  7: optional AttemptFailed attempt_failed
  8: optional RevokeAttempt revoke_attempt
  9: optional AttemptState attempt_state
  10: optional LoadAdapter load_adapter
  11: optional LoadResult load_result
  12: optional Watch watch
  13: optional UpstreamStatus upstream_status
  14: optional Demand demand
  15: optional DemandAccepted demand_accepted
  16: optional SetupNotice setup_notice
  17: optional GetManifest get_manifest
  18: optional Manifest manifest
  19: optional GetSection get_section
  20: optional Section section
  21: optional News news
  22: optional PermitRequest permit_request
  23: optional Permit permit
  24: optional HostLoad host_load
  25: optional QuotaReport quota_report
  26: optional QuotaGrants quota_grants
}
