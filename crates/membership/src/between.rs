//! How what is known of scopes goes round: among the members of one, and by a few of them at a time between
//! scopes.

use crate::scopes::{ScopeSummary, ScopeTable};
use crate::view::{MemberStatus, MemberTable};
use crate::Micros;
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member tells another of its scope this often what it knows of other scopes: news need some ten steps to
/// be with all, and a scope is silent after five seconds.
const TALK: Micros = 200_000;
/// Members of one scope that ask each other scope in a second, whatever the scope's size.
const ACROSS: f64 = 2.0;
/// Bytes of records in a datagram within a scope, and in one between scopes.
const WITHIN: usize = 700;
const BETWEEN: usize = 1_000;
/// Bytes of answers in a second.
const ANSWERS: f64 = 6_000.0;
/// Members of its own scope that one that asks is told of.
const KIN: usize = 12;
/// A process that is alone asks its seeds after a pause that doubles from the one to the other.
const PAUSE: (Micros, Micros) = (500_000, 4_000_000);

/// What members of scopes say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Talk {
    pub(crate) from: SocketAddr,
    scope: String,
    /// An answer is wanted.
    asks: bool,
    records: Vec<ScopeSummary>,
}

impl Talk {
    /// Reads one that makes sense.
    pub(crate) fn read(content: &[u8]) -> Option<Talk> {
        let (talk, rest) = postcard::take_from_bytes::<Talk>(content).ok()?;
        (rest.is_empty() && talk.scope.len() <= 64 && talk.records.iter().all(ScopeSummary::makes_sense))
            .then_some(talk)
    }
}

/// Datagrams' contents, and where they go.
type Letters = Vec<(SocketAddr, Vec<u8>)>;

/// A member of a scope among the scopes.
pub(crate) struct Between {
    /// The own scope's name.
    pub(crate) name: String,
    pub(crate) scopes: ScopeTable,
    address: SocketAddr,
    random: Pcg64,
    /// When it talks next.
    at: Micros,
    turn: usize,
    /// Bytes that answers may take, and since when.
    answers: (f64, Micros),
    /// When seeds are asked next, and the pause after that.
    asks: (Micros, Micros),
}

impl Between {
    pub(crate) fn new(now: Micros, seed: u64, name: &str, address: SocketAddr) -> Self {
        let mut random = Pcg64::seed_from_u64(seed ^ 0x5c0_9e5);
        let at = now + random.next_u64() % TALK;
        Between {
            name: name.to_owned(),
            scopes: ScopeTable::default(),
            address,
            random,
            at,
            turn: 0,
            answers: (ANSWERS, now),
            asks: (now, PAUSE.0),
        }
    }

    /// When it talks next.
    pub(crate) fn next_due(&self) -> Micros {
        if self.scopes.is_empty() {
            return Micros::MAX;
        }
        self.at
    }

    /// What this process can say of its own scope.
    fn own(&self, view: &MemberTable, counted: usize) -> ScopeSummary {
        ScopeSummary {
            scope: self.name.clone(),
            live_count: counted as u32,
            member_count: view.size() as u32,
            unsuspected_count: view.unsuspected_count() as u32,
            digest: view.digest(),
            age_ms: 0,
            contacts: Vec::new(),
        }
    }

    fn write(&self, asks: bool, records: impl Iterator<Item = ScopeSummary>, room: usize) -> Option<Vec<u8>> {
        let mut left = room;
        // What a record takes at the most.
        let size = |r: &ScopeSummary| {
            24 + r.scope.len() + r.contacts.iter().map(|c| if c.is_ipv4() { 10 } else { 22 }).sum::<usize>()
        };
        let fits = |record: &ScopeSummary| {
            let fits = size(record) <= left;
            left = left.saturating_sub(size(record));
            fits
        };
        let records = records.take_while(fits).collect();
        let talk = Talk { from: self.address, scope: self.name.clone(), asks, records };
        // It can only fail to encode, which is tried again.
        postcard::to_allocvec(&talk).ok()
    }

    /// It is so late: tells one of its own scope, and now and then one of another.
    pub(crate) fn talk(&mut self, now: Micros, view: &MemberTable, counted: usize) -> Letters {
        if now < self.next_due() {
            return Vec::new();
        }
        self.at = now + TALK;
        self.turn = self.turn.wrapping_add(1);
        let mut letters = Letters::new();
        let own = self.own(view, counted);
        if let Some(to) = view.someone(self.random.next_u64()) {
            let records = [own.clone()].into_iter().chain(self.scopes.records(now, self.turn, 1));
            letters.extend(self.write(false, records, WITHIN).map(|letter| (to, letter)));
        }
        // The chance is such that the scope as a whole asks as often, whatever its size.
        let wanted = ACROSS * self.scopes.len() as f64 * TALK as f64 / 1e6 / view.size() as f64;
        if ((self.random.next_u64() >> 11) as f64) < wanted * (1u64 << 53) as f64 {
            let (which, who) = (self.random.next_u64(), self.random.next_u64());
            let number = (which % self.scopes.len() as u64) as usize;
            let to = self.scopes.iter().nth(number).and_then(|(_, scope)| scope.contact(who));
            letters.extend(to.and_then(|to| Some((to, self.across(now, view, own, true, None)?))));
        }
        letters
    }

    /// What is said to a member of another scope, or to one that asks.
    fn across(
        &mut self,
        now: Micros,
        view: &MemberTable,
        own: ScopeSummary,
        asks: bool,
        kin: Option<&str>,
    ) -> Option<Vec<u8>> {
        let mut own = own;
        own.contacts = (0..2).filter_map(|_| view.someone(self.random.next_u64())).collect();
        let told = kin.map(|kin| self.scopes.told(now, &self.name, kin, KIN)).unwrap_or_default();
        let rest = self.scopes.records(now, self.turn, 1).filter(|record| kin != Some(record.scope.as_str()));
        self.write(asks, [own].into_iter().chain(told).chain(rest), BETWEEN)
    }

    /// Whether seeds are to be asked now by one that is alone, or not.
    pub(crate) fn asks(&mut self, now: Micros, alone: bool) -> bool {
        if !alone {
            self.asks.1 = PAUSE.0;
            return true;
        }
        let (at, pause) = self.asks;
        if now < at {
            return false;
        }
        // Those that started together don't go on together.
        self.asks = (now + pause / 2 + self.random.next_u64() % pause, (2 * pause).min(PAUSE.1));
        true
    }

    /// What a seed is asked.
    pub(crate) fn ask(&self, view: &MemberTable, counted: usize) -> Option<Vec<u8>> {
        self.write(true, [self.own(view, counted)].into_iter(), BETWEEN)
    }

    /// Takes in what another said, and answers. Tells who it was, and whether it is of another scope.
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        talk: &Talk,
        view: &MemberTable,
        counted: usize,
    ) -> (Letters, bool) {
        let elsewhere = talk.scope != self.name;
        let mut letters = Letters::new();
        if talk.from == self.address {
            return (letters, elsewhere);
        }
        if let Some(scope) = self.scopes.scope(now, &self.name, &talk.scope) {
            scope.meet(talk.from);
        }
        for record in &talk.records {
            self.scopes.hear(now, &self.name, record);
        }
        let (left, since) = self.answers;
        let left = (left + now.saturating_sub(since) as f64 / 1e6 * ANSWERS).min(ANSWERS);
        self.answers = (left, now);
        // In a fleet of one scope there is nothing to answer; what is over the bound is asked again.
        if talk.asks && left > 0.0 && !self.scopes.is_empty() {
            let own = self.own(view, counted);
            if let Some(letter) = self.across(now, view, own, false, Some(&talk.scope)) {
                self.answers.0 -= letter.len() as f64;
                letters.push((talk.from, letter));
            }
        }
        (letters, elsewhere)
    }

    /// Members of the own scope of whom others told and the view does not know; of those that went, only if
    /// it knows fewer than the others. Each is named once for each time that it was told of.
    pub(crate) fn kin(&mut self, now: Micros, view: &MemberTable) -> Vec<SocketAddr> {
        let fewer = view.size() == 1 || view.size() < self.scopes.present(now);
        let address = self.address;
        let wanted = |who: SocketAddr| match view.get(who).map(|seen| seen.status) {
            None => who != address,
            Some(MemberStatus::Left | MemberStatus::Dead) => fewer,
            Some(MemberStatus::Alive | MemberStatus::Suspected) => false,
        };
        self.scopes.take_kin(wanted, 2)
    }
}
