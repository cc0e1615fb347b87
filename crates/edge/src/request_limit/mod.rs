//! Enforces the request limits that backend servers state in their responses: how many requests per
//! second a server takes from all VMs together.

pub mod observed;
pub(crate) mod record;
