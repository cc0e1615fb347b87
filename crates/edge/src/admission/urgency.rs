//! Orders requests by priority and by the share that their client account has used.
