//! Who a member is.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a name, a release or a zone at the most: three of them and the rest fit a datagram many times.
const TEXT_MOST: usize = 64;
/// The first step by which a life renews itself, in milliseconds; each further one is twice as large.
const STEP: u64 = 1_000;
/// Doublings of the step at the most: more than a hundred years.
const STEPS_MOST: u8 = 32;

/// As much of a text as is told.
pub(crate) fn cut(text: &str) -> String {
    let end = (0..=text.len().min(TEXT_MOST)).rev().find(|end| text.is_char_boundary(*end));
    text[..end.unwrap_or(0)].to_owned()
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where others reach it; what it is known by.
    pub address: SocketAddr,
    /// When it started, in milliseconds of Unix time; of two at one address the greater is the member.
    pub incarnation: u64,
    /// What it runs.
    pub release: String,
    /// Where it is.
    pub zone: String,
    /// It has said that it leaves.
    pub leaving: bool,
    /// How often it has had to renew its life.
    renewed: u8,
}

impl Identity {
    /// A member that starts; texts that are too long are cut.
    pub fn new(name: &str, address: SocketAddr, life: u64, release: &str, zone: &str) -> Self {
        let [name, release, zone] = [name, release, zone].map(cut);
        Identity { name, address, incarnation: life, release, zone, leaving: false, renewed: 0 }
    }

    /// Stands for whoever is at an address, as long as nobody is known there.
    pub fn unidentified(address: SocketAddr) -> Self {
        Identity::new("", address, 0, "", "")
    }

    /// The same member, which leaves.
    pub fn into_leaving(&self) -> Self {
        Identity { leaving: true, incarnation: self.incarnation + 1, ..self.clone() }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    /// One that was held dead comes back as a new life. A clock that had gone back is caught up with by steps
    /// that double.
    fn renew(&self) -> Option<Self> {
        if self.leaving {
            return None;
        }
        let life = self.incarnation.saturating_add(STEP << self.renewed.min(STEPS_MOST));
        Some(Identity { incarnation: life, renewed: self.renewed.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        // Of two that started at one moment all must prefer the same.
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
