//! What the daemons keep in the platform's key-value service, and how they reach it.
//!
//! [`port`] and [`vm_list`] are the ports, [`http_store`] and [`http_vm_list`] the adapters
//! that speak the platform's published protocol. [`budget`] limits a daemon's calls. On these
//! stand [`commit`] and [`follow`] for the settings, [`claim`] for idempotency keys and
//! [`capacity`] for the parts of a failure domain's capacity.

pub mod backoff;
pub mod budget;
pub mod capacity;
pub mod claim;
pub mod commit;
pub mod error;
pub mod follow;
pub mod http_client;
pub mod http_store;
pub mod http_vm_list;
pub mod lease_book;
pub mod port;
pub mod vm_list;
