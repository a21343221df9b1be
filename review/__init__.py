"""An independent review: cases, and stand-ins that their scripts share.

The modules beside this one are stand-ins of clients, servers and the platform,
with the standard library only; each numbered folder is a case.
"""
