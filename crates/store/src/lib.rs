//! Access to the platform's key-value service and VM list, and the data that daemons store there.
//!
//! [`port`] and [`vm_list`] define the interfaces; [`http_store`] and [`http_vm_list`] implement
//! them over the platform's published HTTP protocol, and [`budget`] limits the rate of a daemon's
//! calls. Built on these are [`commit`], which writes the settings, and [`follow`], which reads
//! them; [`claim`] for idempotency keys; and [`capacity`], which divides a failure domain's
//! capacity among its VMs.

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
pub mod port;
pub mod shared_leases;
pub mod vm_list;
