//! Shared immutable names, one type for each kind of thing named.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from its text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Gives the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// A client account, written as its path in the tree, such as `utilities/port-louis`.
    AccountName
);
name_type!(
    /// A service, written as `account-path:service`, unique in the deployment.
    ServiceName
);
name_type!(
    /// A place: a group of backend servers in one failure domain that share a cap.
    PlaceName
);
name_type!(
    /// A region, a group of failure domains.
    RegionName
);
name_type!(
    /// A failure domain.
    DomainName
);
name_type!(
    /// An entry VM.
    VmName
);
name_type!(
    /// An upstream: one backend server as one service uses it.
    UpstreamName
);
name_type!(
    /// A version of the software that the backend servers of a service run.
    VersionName
);
