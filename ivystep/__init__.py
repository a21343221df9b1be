"""ivystep: a shared serving layer for very many LoRA adapters."""

import os
import warnings

# Eventlet warns at import that it is in bug-fix mode. Operators cannot act
# on the warning; docs/design.md records the migration path.
warnings.filterwarnings('ignore', message='\nEventlet is deprecated')

# Processes connect to IP addresses, so eventlet's own DNS resolver, which takes
# about 12 MB of memory, is not loaded.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

__version__ = '0.1.0'
