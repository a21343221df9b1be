"""ivystep: a shared serving layer for very many LoRA adapters."""

import warnings

# Eventlet warns at import that it is in bug-fix mode; docs/design.md records
# the migration path, and operators can do nothing about the warning.
warnings.filterwarnings('ignore', message='\nEventlet is deprecated')

__version__ = '0.1.0'
