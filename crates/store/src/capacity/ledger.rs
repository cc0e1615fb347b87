//! The capacity ledger of one failure domain and the operations on it.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The number of parts into which a failure domain's capacity is divided.
pub const TOTAL_PARTS: u16 = 1000;

/// The entry of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The incarnation of the daemon's process that may use the capacity.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The VM's share of the capacity, out of [`TOTAL_PARTS`].
    #[serde(rename = "p")]
    pub part: u16,
}

/// The entries of one failure domain, sorted by VM name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The entries.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
}

/// The error of an invalid ledger.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LedgerError {
    /// The sum of the parts exceeds the total.
    #[snafu(display("parts sum to {sum}, more than {TOTAL_PARTS}"))]
    SumTooLarge {
        /// The sum.
        sum: u32,
    },
    /// The entries are not sorted, or two of them have the same VM.
    #[snafu(display("the entry of {vm} is out of order or a duplicate"))]
    OutOfOrder {
        /// The VM of the second of the two entries.
        vm: VmName,
    },
}

impl Ledger {
    /// Validates a ledger that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the entries are not sorted by distinct VMs or their sum exceeds
    /// [`TOTAL_PARTS`].
    pub fn check(&self) -> Result<(), LedgerError> {
        for pair in self.entries.windows(2) {
            if pair[0].vm >= pair[1].vm {
                let vm = pair[1].vm.clone();
                return Err(LedgerError::OutOfOrder { vm });
            }
        }
        let sum = self.sum();
        match sum > u32::from(TOTAL_PARTS) {
            true => Err(LedgerError::SumTooLarge { sum }),
            false => Ok(()),
        }
    }

    /// Returns the sum of all parts.
    pub fn sum(&self) -> u32 {
        self.entries.iter().map(|entry| u32::from(entry.part)).sum()
    }

    /// Returns the number of parts that are not allocated to a VM.
    pub fn unallocated(&self) -> u16 {
        TOTAL_PARTS.saturating_sub(self.sum().min(u32::from(TOTAL_PARTS)) as u16)
    }

    /// Returns the entry of a VM.
    pub fn entry(&self, vm: &VmName) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.vm.cmp(vm));
        index.ok().map(|index| &self.entries[index])
    }

    /// Returns the part of a VM, or zero if its entry belongs to a different incarnation.
    pub fn part_of(&self, vm: &VmName, incarnation: Incarnation) -> u16 {
        let entry = self.entry(vm);
        let entry = entry.filter(|entry| entry.incarnation == incarnation);
        entry.map_or(0, |entry| entry.part)
    }

    /// Adds an entry without capacity for a VM, or transfers the entry of an earlier incarnation
    /// of its daemon to the given one.
    ///
    /// The earlier incarnation can no longer use the capacity: a daemon joins only after it has
    /// bound the VM's address, which the earlier process held until it ended.
    pub fn add_or_take_over(&mut self, vm: &VmName, incarnation: Incarnation) {
        match self.entries.binary_search_by(|entry| entry.vm.cmp(vm)) {
            Ok(index) => self.entries[index].incarnation = incarnation,
            Err(index) => {
                let vm = vm.clone();
                let part = 0;
                self.entries.insert(
                    index,
                    Entry {
                        vm,
                        incarnation,
                        part,
                    },
                );
            }
        }
    }

    /// Removes the entries of VMs that the platform's list reports as gone.
    pub fn remove_vms(&mut self, gone: &[VmName]) {
        self.entries.retain(|entry| !gone.contains(&entry.vm));
    }

    /// Sets the part of a VM. It is raised by at most the unallocated parts.
    pub fn set_part(&mut self, vm: &VmName, wanted: u16) {
        let unallocated = self.unallocated();
        let index = self.entries.binary_search_by(|entry| entry.vm.cmp(vm));
        if let Ok(index) = index {
            let entry = &mut self.entries[index];
            entry.part = wanted.min(entry.part + unallocated);
        }
    }

    /// Returns the target part of a VM: an equal share among the VMs that are not leaving. The
    /// remainder of the division goes to the first of them, one part each. If all VMs are leaving,
    /// they keep sharing, so that the failure domain continues to serve until others join.
    pub fn target(&self, vm: &VmName, leaving: &[VmName]) -> u16 {
        let all = self.entries.iter().map(|entry| &entry.vm);
        let remaining: Vec<&VmName> = all.clone().filter(|vm| !leaving.contains(vm)).collect();
        let sharers = match remaining.is_empty() {
            true => all.collect(),
            false => remaining,
        };
        let Some(rank) = sharers.iter().position(|other| *other == vm) else {
            return 0;
        };
        let count = sharers.len() as u16;
        let left_over = TOTAL_PARTS % count;
        TOTAL_PARTS / count + u16::from((rank as u16) < left_over)
    }
}
