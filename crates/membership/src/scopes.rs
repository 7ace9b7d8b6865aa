//! What is known of members of other scopes: not who they are, but how many, told with its age.
//!
//! A record is made by a member of its scope and passed on; who holds it adds the time that it held it, and
//! what the way may have taken. Of two by makers who hold the same view the younger one counts; of those who
//! differ, the one that counts more.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A scope of which no younger record is known is silent.
const SILENT: Micros = 5_000_000;
/// What a silent scope counted stays for so long, as after any cut.
const HOLD: Micros = 60_000_000;
/// Then it falls by this share of all at a time, as the count does, ...
const FALL: f64 = 0.1;
/// ... and no more often than this.
const STEP: Micros = 1_000_000;
/// A process that did not look for so long stood still, and has not heard what was told meanwhile.
const STILL: Micros = 1_000_000;
/// A silent scope's contacts are asked for so long.
const REMEMBERED: Micros = 600_000_000;
/// What one way adds to a record's age at the least, so that none grows younger by going round.
const WAY: Micros = 100_000;
/// Makers that differ, of whose records the youngest are kept.
const VOICES: usize = 8;
/// Contacts that are kept.
const CONTACTS: usize = 16;
/// ScopeTable that are known at the most.
const SCOPES: usize = 256;
/// Bytes of a scope's name, and members of a scope, at the most; what says more makes no sense.
const NAME: usize = 64;
const MEMBERS: u32 = 1 << 20;

/// What is told of a scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeSummary {
    /// Its name; empty is that of those who have none.
    pub scope: String,
    /// How many share the servers, by the safe side of whoever made this.
    pub live_count: u32,
    /// Members that are there.
    pub member_count: u32,
    /// Members that are there and not suspected.
    pub unsuspected_count: u32,
    /// The digest of its maker's view.
    pub digest: u32,
    /// How old it is, in milliseconds.
    pub age_ms: u32,
    /// Some of its members.
    pub contacts: Vec<SocketAddr>,
}

impl ScopeSummary {
    /// It can be what a member told.
    pub(crate) fn makes_sense(&self) -> bool {
        let numbers = self.unsuspected_count <= self.member_count
            && self.member_count <= MEMBERS
            && self.live_count <= MEMBERS;
        numbers && self.scope.len() <= NAME && self.contacts.len() <= CONTACTS
    }
}

/// What one maker told.
#[derive(Clone, Copy, Debug)]
struct Voice {
    digest: u32,
    counted: usize,
    present: usize,
    sure: usize,
    made: Micros,
}

/// Whether a scope is heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeStatus {
    /// It is.
    Fresh,
    /// Not for some seconds; its count stays, or falls step by step.
    Silent,
}

/// Another scope as it is seen from here.
#[derive(Clone, Debug)]
pub struct RemoteScope {
    voices: Vec<Voice>,
    contacts: VecDeque<SocketAddr>,
    hearing: ScopeStatus,
    counted: usize,
    fell: Micros,
}

impl RemoteScope {
    fn new(now: Micros) -> Self {
        let (voices, contacts) = (Vec::new(), VecDeque::new());
        RemoteScope { voices, contacts, hearing: ScopeStatus::Fresh, counted: 0, fell: now }
    }

    fn youngest(&self) -> Option<&Voice> {
        self.voices.iter().max_by_key(|voice| voice.made)
    }

    /// How many of it are counted.
    pub fn live_count(&self) -> usize {
        self.counted
    }

    /// Members that were there by the youngest record.
    pub fn member_count(&self) -> usize {
        self.youngest().map_or(0, |voice| voice.present)
    }

    /// The digest of the youngest record.
    pub fn digest(&self) -> u32 {
        self.youngest().map_or(0, |voice| voice.digest)
    }

    /// How old the youngest record is, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        self.youngest().map_or(Micros::MAX, |voice| now.saturating_sub(voice.made))
    }

    /// Whether it is heard of.
    pub fn status(&self) -> ScopeStatus {
        self.hearing
    }

    fn voices(&self, now: Micros) -> impl Iterator<Item = &Voice> {
        self.voices.iter().filter(move |voice| now <= voice.made + SILENT)
    }

    fn hear(&mut self, voice: Voice) {
        match self.voices.iter_mut().find(|known| known.digest == voice.digest) {
            Some(known) if known.made >= voice.made => {}
            Some(known) => *known = voice,
            None => self.voices.push(voice),
        }
        if self.voices.len() > VOICES {
            let oldest = (0..self.voices.len()).min_by_key(|n| self.voices[*n].made);
            oldest.map(|n| self.voices.swap_remove(n));
        }
    }

    /// A member of it, as far as is known.
    pub(crate) fn meet(&mut self, address: SocketAddr) {
        if !self.contacts.contains(&address) {
            self.contacts.push_back(address);
            if self.contacts.len() > CONTACTS {
                self.contacts.pop_front();
            }
        }
    }

    /// One of its members, by a random number.
    pub(crate) fn contact(&self, random: u64) -> Option<SocketAddr> {
        let number = self.contacts.len() as u64;
        self.contacts.get(random.checked_rem(number)? as usize).copied()
    }

    /// Brings its part of the count up to date; `all` is the count in force, and this process listens since
    /// `awake`.
    fn look(&mut self, now: Micros, all: usize, awake: Micros) -> Option<ScopeStatus> {
        let youngest = self.youngest().map_or(0, |voice| voice.made).max(awake);
        let hearing = if now <= youngest + SILENT { ScopeStatus::Fresh } else { ScopeStatus::Silent };
        match hearing {
            ScopeStatus::Fresh => {
                // None, after this process itself stood still: then what it knew stays.
                if let Some(most) = self.voices(now).map(|voice| voice.counted).max() {
                    self.counted = most;
                    self.voices.retain(|voice| now <= voice.made + SILENT);
                }
            }
            ScopeStatus::Silent if now > youngest + HOLD && now >= self.fell + STEP => {
                let step = ((all as f64 * FALL) as usize).max(1);
                (self.counted, self.fell) = (self.counted.saturating_sub(step), now);
            }
            ScopeStatus::Silent => {}
        }
        (std::mem::replace(&mut self.hearing, hearing) != hearing).then_some(hearing)
    }
}

/// All scopes but the own; of that, what others told.
#[derive(Clone, Debug, Default)]
pub struct ScopeTable {
    others: BTreeMap<String, RemoteScope>,
    /// What others of the own scope told of it.
    own: Option<RemoteScope>,
    looked: Micros,
    /// Since when this process has not stood still.
    awake: Micros,
}

impl ScopeTable {
    /// No other scope is known.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// The other scopes, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RemoteScope)> {
        self.others.iter().map(|(name, scope)| (name.as_str(), scope))
    }

    /// How many other scopes are known.
    pub fn len(&self) -> usize {
        self.others.len()
    }

    /// The own scope as others tell of it, or another.
    pub(crate) fn scope(&mut self, now: Micros, own: &str, name: &str) -> Option<&mut RemoteScope> {
        if own == name {
            return Some(self.own.get_or_insert_with(|| RemoteScope::new(now)));
        }
        if !self.others.contains_key(name) && self.others.len() >= SCOPES {
            return None;
        }
        Some(self.others.entry(name.to_owned()).or_insert_with(|| RemoteScope::new(now)))
    }

    /// Takes in what was told.
    pub(crate) fn hear(&mut self, now: Micros, own: &str, record: &ScopeSummary) {
        let age = Micros::from(record.age_ms) * 1_000;
        let Some(scope) = self.scope(now, own, &record.scope).filter(|_| age <= HOLD && now >= age) else {
            return;
        };
        scope.hear(Voice {
            digest: record.digest,
            counted: record.live_count as usize,
            present: record.member_count as usize,
            sure: record.unsuspected_count as usize,
            made: now - age,
        });
        record.contacts.iter().for_each(|contact| scope.meet(*contact));
    }

    /// What others of the own scope lately told that is counted there.
    pub(crate) fn own(&self, now: Micros) -> usize {
        self.own.iter().flat_map(|own| own.voices(now)).map(|voice| voice.counted).max().unwrap_or(0)
    }

    /// How many of the own scope others lately told to be there.
    pub(crate) fn present(&self, now: Micros) -> usize {
        self.own.iter().flat_map(|own| own.voices(now)).map(|voice| voice.present).max().unwrap_or(0)
    }

    /// Takes out some members of the own scope of whom others told, the last first.
    pub(crate) fn take_kin(&mut self, wanted: impl Fn(SocketAddr) -> bool, most: usize) -> Vec<SocketAddr> {
        let Some(own) = &mut self.own else { return Vec::new() };
        let taken: Vec<SocketAddr> =
            own.contacts.iter().rev().copied().filter(|who| wanted(*who)).take(most).collect();
        own.contacts.retain(|who| !taken.contains(who));
        taken
    }

    /// Brings all up to date; tells which scopes are silent or back.
    pub(crate) fn look(&mut self, now: Micros, all: usize) -> Vec<(String, ScopeStatus)> {
        if now > self.looked + STILL {
            self.awake = now;
        }
        self.looked = now;
        self.others.retain(|_, scope| scope.age(now) < REMEMBERED || scope.counted > 0);
        if let Some(own) = &mut self.own {
            own.voices.retain(|voice| now <= voice.made + SILENT);
        }
        let awake = self.awake;
        let changed = self.others.iter_mut().map(|(name, scope)| (name, scope.look(now, all, awake)));
        changed.filter_map(|(name, hearing)| Some((name.clone(), hearing?))).collect()
    }

    /// How many are counted in the other scopes.
    pub(crate) fn counted(&self) -> usize {
        self.others.values().map(|scope| scope.counted).sum()
    }

    /// How many of them are there beyond doubt.
    pub(crate) fn sure(&self) -> usize {
        let fresh = self.others.values().filter(|scope| scope.hearing == ScopeStatus::Fresh);
        fresh.filter_map(RemoteScope::youngest).map(|voice| voice.sure).sum()
    }

    /// What can be told of the other scopes, each with so many contacts, from a place in their order on.
    pub(crate) fn records(
        &self,
        now: Micros,
        from: usize,
        contacts: usize,
    ) -> impl Iterator<Item = ScopeSummary> + '_ {
        let order = self.others.iter().cycle().skip(from % self.others.len().max(1)).take(self.others.len());
        order.flat_map(move |(name, scope)| scope.records(now, name, from, contacts))
    }

    /// What can be told of one scope, with so many contacts.
    pub(crate) fn told(&self, now: Micros, own: &str, name: &str, contacts: usize) -> Vec<ScopeSummary> {
        let scope = if own == name { self.own.as_ref() } else { self.others.get(name) };
        scope.into_iter().flat_map(|scope| scope.records(now, name, 0, contacts)).collect()
    }
}

impl RemoteScope {
    /// What can be told of it: the youngest, and the one that counts most if that is another. Old ones go as
    /// far as they count.
    fn records(
        &self,
        now: Micros,
        name: &str,
        turn: usize,
        contacts: usize,
    ) -> impl Iterator<Item = ScopeSummary> + '_ {
        let youngest = self.youngest();
        let most = self.voices(now).max_by_key(|voice| (voice.counted, voice.made));
        let most = most.filter(|most| youngest.is_some_and(|youngest| most.counted > youngest.counted));
        let name = name.to_owned();
        let told = [(youngest, contacts.min(self.contacts.len())), (most, 0)];
        let told = told.into_iter().filter_map(|(voice, contacts)| Some((voice?, contacts)));
        told.filter_map(move |(voice, contacts)| {
            let age = now.saturating_sub(voice.made) + WAY;
            let some = self.contacts.iter().cycle().skip(turn % self.contacts.len().max(1));
            (age <= HOLD).then(|| ScopeSummary {
                scope: name.clone(),
                live_count: voice.counted as u32,
                member_count: voice.present as u32,
                unsuspected_count: voice.sure as u32,
                digest: voice.digest,
                age_ms: (age / 1_000) as u32,
                contacts: some.take(contacts).copied().collect(),
            })
        })
    }
}
