/* Starts the Python interpreter that is linked into this program.
 *
 * The interpreter imports its modules from a ZIP archive at the end of the
 * program's own file. It runs in this process, and nothing is unpacked.
 */
#include <Python.h>
#include <limits.h>
#include <unistd.h>

static int check(PyStatus status, PyConfig *config)
{
    if (!PyStatus_Exception(status)) {
        return 0;
    }
    PyConfig_Clear(config);
    Py_ExitStatusException(status);
    return 1;
}

int main(int argc, char **argv)
{
    char path[PATH_MAX];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    if (length < 0) {
        perror("/proc/self/exe");
        return 1;
    }
    path[length] = '\0';

    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.install_signal_handlers = 1;
    config.module_search_paths_set = 1;
    wchar_t *wide = Py_DecodeLocale(path, NULL);
    if (wide == NULL) {
        return 1;
    }
    check(PyWideStringList_Append(&config.module_search_paths, wide), &config);
    check(PyConfig_SetString(&config, &config.executable, wide), &config);
    check(PyConfig_SetString(&config, &config.run_module, L"bootstrap"),
          &config);
    check(PyConfig_SetBytesArgv(&config, argc, argv), &config);
    check(Py_InitializeFromConfig(&config), &config);
    PyConfig_Clear(&config);
    return Py_RunMain();
}
