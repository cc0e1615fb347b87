//! IP prefixes that restrict the addresses of an account's backend servers.

use std::net::IpAddr;

/// An IP prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    base: u128,
    prefix_len: u32,
    width: u32,
}

impl Network {
    /// Parses a prefix such as `10.1.0.0/16`. Returns `None` if the text is malformed or has host
    /// bits set.
    pub fn parse(text: &str) -> Option<Network> {
        let (ip, prefix_len) = text.split_once('/')?;
        let (base, width) = address_number(ip.parse().ok()?);
        let prefix_len: u32 = prefix_len
            .parse()
            .ok()
            .filter(|prefix_len| *prefix_len <= width)?;
        let network = Network {
            base,
            prefix_len,
            width,
        };
        let masked = network
            .prefix(base)
            .checked_shl(network.host_bits())
            .unwrap_or(0);
        (masked == base).then_some(network)
    }

    /// Returns whether the prefix contains the address.
    pub fn contains(&self, ip: IpAddr) -> bool {
        let (address, width) = address_number(ip);
        width == self.width && self.prefix(address) == self.prefix(self.base)
    }

    fn host_bits(&self) -> u32 {
        self.width - self.prefix_len
    }

    fn prefix(&self, address: u128) -> u128 {
        address.checked_shr(self.host_bits()).unwrap_or(0)
    }
}

fn address_number(ip: IpAddr) -> (u128, u32) {
    match ip {
        IpAddr::V4(ip) => (u128::from(u32::from(ip)), 32),
        IpAddr::V6(ip) => (u128::from(ip), 128),
    }
}
