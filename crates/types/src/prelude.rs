//! The types that nearly every module of the project uses.

pub use crate::clock::{Clock, Millis};
pub use crate::incarnation::Incarnation;
pub use crate::names::{
    AccountName, DomainName, PlaceName, RegionName, ServiceName, UpstreamName, VersionName, VmName,
};
pub use crate::outcome::{Class, Outcome};
pub use crate::revision::Revision;
pub use crate::timer::Timer;
