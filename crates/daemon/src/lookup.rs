//! Look-ups: which entry VMs a caller should use for a service, in order.

pub mod answer;
pub mod directory;
pub mod order;
pub mod respond;

#[cfg(test)]
mod tests;
