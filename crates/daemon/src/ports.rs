//! Adapters that join the ports of the other packages to each other.

pub mod claims;
pub mod grants;
pub mod hand_over;
pub mod settings;
pub mod slots;
