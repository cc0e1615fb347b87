//! Reserves times at which refused callers are to return.
