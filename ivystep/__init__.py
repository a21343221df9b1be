"""ivystep: a shared serving layer for very many LoRA adapters."""

import os
import warnings

# Eventlet warns at import that it is in bug-fix mode; docs/design.md records
# the migration path, and operators can do nothing about the warning.
warnings.filterwarnings('ignore', message='\nEventlet is deprecated')

# Processes talk by IP address, so eventlet's own resolver, which takes about
# 12 MB of memory, is left out.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

__version__ = '0.1.0'
