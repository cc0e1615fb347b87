//! Address prefixes and the left-aligned form in which the table compares them.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An address family.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Family {
    /// IPv4: prefixes of 1 to 32 bits.
    V4,
    /// IPv6: prefixes of 1 to 64 bits. Longer ones lie inside one subnet and are rejected.
    V6,
}

impl Family {
    /// Returns the length of the longest prefix that the table keeps, in bits.
    pub fn max_len(self) -> u8 {
        match self {
            Family::V4 => 32,
            Family::V6 => 64,
        }
    }
}

/// A prefix of one family: its bits, left-aligned in a 64-bit word, and its length.
///
/// Ordered by address and then from the shorter to the longer, so that a prefix comes
/// before every prefix that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Net {
    pub(crate) bits: u64,
    pub(crate) len: u8,
}

impl Net {
    /// Returns the prefix of `len` bits that contains `bits`. `len` is 1 to 64.
    pub(crate) fn covering(bits: u64, len: u8) -> Net {
        let shift = 64 - u32::from(len);
        Net {
            bits: (bits >> shift) << shift,
            len,
        }
    }

    /// Returns whether the prefix contains the address `bits`.
    pub(crate) fn contains(self, bits: u64) -> bool {
        (self.bits ^ bits) >> (64 - u32::from(self.len)) == 0
    }
}

/// A client block's prefix: an IPv4 prefix of 1 to 32 bits or an IPv6 prefix of 1 to 64.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    family: Family,
    net: Net,
}

/// The reason why a prefix was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PrefixError {
    /// The text is not an address, a slash and a number of bits.
    #[snafu(display("`{text}` is not a prefix; expected ADDRESS/BITS, such as 192.0.2.0/24"))]
    Text {
        /// The text.
        text: String,
    },
    /// The length is outside what the table keeps.
    #[snafu(display("prefix length {len} of `{address}`; expected 1 to {max} bits"))]
    Length {
        /// The address.
        address: IpAddr,
        /// The length found, in bits.
        len: u8,
        /// The longest length of the family, in bits.
        max: u8,
    },
    /// The address has bits set after the prefix.
    #[snafu(display("`{address}/{len}` has address bits set after the first {len}"))]
    HostBits {
        /// The address.
        address: IpAddr,
        /// The length, in bits.
        len: u8,
    },
}

impl Prefix {
    /// Creates a prefix of `len` bits.
    ///
    /// # Errors
    ///
    /// [`PrefixError::Length`] if `len` is outside 1 to 32 (IPv4) or 1 to 64 (IPv6),
    /// [`PrefixError::HostBits`] if the address has bits set after the prefix.
    pub fn new(address: IpAddr, len: u8) -> Result<Prefix, PrefixError> {
        let family = match address {
            IpAddr::V4(_) => Family::V4,
            IpAddr::V6(_) => Family::V6,
        };
        let max = family.max_len();
        if len == 0 || len > max {
            return Err(PrefixError::Length { address, len, max });
        }
        let low_bits = match address {
            IpAddr::V4(_) => 0,
            IpAddr::V6(v6) => u128::from(v6) as u64,
        };
        let net = Net::covering(raw_bits(address), len);
        if net.bits != raw_bits(address) || low_bits != 0 {
            return Err(PrefixError::HostBits { address, len });
        }
        Ok(Prefix { family, net })
    }

    pub(crate) fn from_net(family: Family, net: Net) -> Prefix {
        Prefix { family, net }
    }

    pub(crate) fn net(self) -> Net {
        self.net
    }

    /// Returns the address family.
    pub fn family(self) -> Family {
        self.family
    }

    /// Returns the prefix length, in bits.
    pub fn prefix_len(self) -> u8 {
        self.net.len
    }

    /// Returns the lowest address of the block.
    pub fn address(self) -> IpAddr {
        match self.family {
            Family::V4 => IpAddr::V4(Ipv4Addr::from((self.net.bits >> 32) as u32)),
            Family::V6 => IpAddr::V6(Ipv6Addr::from(u128::from(self.net.bits) << 64)),
        }
    }

    /// Returns whether the block contains the address.
    pub fn contains(self, address: IpAddr) -> bool {
        let (family, bits) = family_and_bits(address);
        family == self.family && self.net.contains(bits)
    }
}

fn raw_bits(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(v4) => u64::from(u32::from(v4)) << 32,
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64,
    }
}

/// Returns the family and the leading 64 bits of a caller's address. An IPv4 address that a
/// dual-stack socket reports as `::ffff:a.b.c.d` counts as IPv4.
pub(crate) fn family_and_bits(address: IpAddr) -> (Family, u64) {
    match address.to_canonical() {
        v4 @ IpAddr::V4(_) => (Family::V4, raw_bits(v4)),
        v6 => (Family::V6, raw_bits(v6)),
    }
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Prefix, PrefixError> {
        let invalid = || PrefixError::Text { text: text.into() };
        let (address, len) = text.split_once('/').ok_or_else(invalid)?;
        let address = address.parse().map_err(|_| invalid())?;
        let len = len.parse().map_err(|_| invalid())?;
        Prefix::new(address, len)
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address(), self.net.len)
    }
}

impl fmt::Debug for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
