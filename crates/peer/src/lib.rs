//! Communication between daemons: JSON-RPC calls, membership and the relay of settings.
//!
//! Each daemon listens for its peers and opens connections to the peers that it calls. Both ends
//! of a connection prove that they belong to the deployment before any call is sent.

pub mod auth;
mod change_log;
pub mod error;
pub mod frame;
mod handshake;
mod heartbeat;
mod incoming;
pub mod members;
pub mod membership;
pub mod methods;
pub mod net;
pub mod options;
mod outgoing;
mod platform;
pub mod relay;
mod relay_wire;
pub mod reports;
pub mod settings_port;
mod sync;

pub use auth::{HandshakeRefusal, PeerId, Secret};
pub use error::{Cause, Handled, PeerError, Step};
pub use members::{MemberState, MemberView, Source};
pub use membership::{Membership, MembershipContext, MembershipHooks, MembershipOptions};
pub use methods::{MethodTable, not_run};
pub use net::{Dial, PeerContext, PeerNet};
pub use options::{CallOptions, PeerOptions};
pub use relay::{Origin, Relay, RelayOptions, RelayStatus};
pub use reports::{ReportOptions, ReportTable};
pub use settings_port::{Delivery, RelayedChange, RelayedSnapshot, SettingsPort, StorePort};
