//! One process among its peers: SWIM by `foca`, and what follows from it.

use crate::between::{Between, Talk};
use crate::bucket::{Bucket, Weight};
use crate::envelope::{DatagramError, DatagramKind, Envelope, LENGTH};
use crate::identity::cut;
use crate::scopes::{ScopeStatus, ScopeTable};
use crate::sync::{self, Exchange, Sync};
use crate::view::{MemberStatus, MemberTable};
use crate::{wire, Identity, LiveCount, Micros};
use foca::{Foca, Member, Notification, PeriodicParams, PostcardCodec, Runtime, State, Timer};
use rand_pcg_next::rand_core::SeedableRng;
use rand_pcg_next::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The longest datagram.
const DATAGRAM: usize = 1_400;
/// A member is pinged this often, in microseconds.
const PERIOD: Micros = 180_000;
/// And has so long to answer before others are asked.
const ANSWER: Micros = 70_000;
/// Others that are asked.
const ASKED: usize = 3;
/// A suspected member has so long to refute.
const SUSPICION: Micros = 1_350_000;
/// MembershipEvent go along with so many datagrams.
const TOLD: u8 = 16;
/// While so many wait, each goes along less often: all that are told still have it by some of them.
const MANY: usize = 100;
const TOLD_OF_MANY: u8 = 8;
/// Gossip goes out this often, to so many.
const GOSSIP: (Micros, usize) = (1_000_000, 1);
/// Members held dead are asked this often, and so many at a time.
const REVIVAL: (Micros, usize) = (1_000_000, 1);
/// Members are asked for more members this often.
const MORE: Micros = 10_000_000;
/// A process that is alone asks its seeds this often.
const SEEDS: Micros = 500_000;
/// The view is looked at this often, and one that differs is asked for its own.
const LOOK: Micros = 500_000;
/// Members of the own scope that others know are asked this often.
const KIN: Micros = 200_000;
/// An agreement of this share is one.
const AGREED: f64 = 0.9;
/// MembershipEvent that wait to be taken; beyond them they are counted only.
const NEWS_MOST: usize = 256;

/// What a process is told of its peers.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name.
    pub fleet_name: String,
    /// Addresses that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Processes that there should be.
    pub configured_count: usize,
}

/// Something that people are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member stands so from now on.
    MemberChanged(Identity, MemberStatus),
    /// Two members that are there have one name.
    NameConflict(String, SocketAddr, SocketAddr),
    /// This process was held dead, and has come back.
    Rejoined,
    /// So many fell silent together that it is taken for a cut, or no longer.
    PartitionSuspected(bool),
    /// The count in force has changed.
    LiveCount(usize),
    /// Another scope is silent, or heard of again.
    ScopeChanged(String, ScopeStatus),
}

/// What `foca` wants done.
#[derive(Default)]
struct Wanted {
    send: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Micros, Timer<Identity>)>,
    told: Vec<Told>,
}

enum Told {
    Up(Identity),
    Down(Identity),
    Renamed(Identity),
    CameBack,
}

impl Runtime<Identity> for &mut Wanted {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.told.extend(match notification {
            Notification::MemberUp(who) => Some(Told::Up(who.clone())),
            Notification::MemberDown(who) => Some(Told::Down(who.clone())),
            Notification::Rename(_, new) => Some(Told::Renamed(new.clone())),
            Notification::Rejoin(_) => Some(Told::CameBack),
            Notification::Active | Notification::Idle | Notification::Defunct => None,
        });
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.send.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after.as_micros() as Micros, event));
    }
}

/// One process among its peers.
pub struct Node {
    foca: Foca<Identity, PostcardCodec, Pcg64, foca::NoCustomBroadcast>,
    config: NodeConfig,
    /// The hash of the fleet's name, and of the own scope's in it.
    fleet: u32,
    scope: u32,
    /// By when they are due, and their order.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    number: u64,
    view: MemberTable,
    /// Addresses of members that are suspected, as far as it was told or found out since the last look.
    doubted: BTreeSet<SocketAddr>,
    /// The life that is part of the view's digest.
    life: u64,
    count: LiveCount,
    /// The count of the own scope alone, as others are told it.
    own_count: LiveCount,
    /// What the own scope and the others counted at the last look.
    counted: usize,
    between: Between,
    /// Seeds that are of another scope.
    elsewhere: BTreeSet<SocketAddr>,
    kin_at: Micros,
    exchange: Exchange,
    bucket: Bucket,
    /// MembershipEvent go along so often at present.
    told: u8,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    news: Vec<MembershipEvent>,
    seeds_at: Micros,
    looked: Micros,
    left: bool,
    told_cut: bool,
    /// Bytes that were sent.
    pub bytes_sent: u64,
    /// Datagrams that were thrown away, by why.
    pub discarded_datagrams: BTreeMap<&'static str, u64>,
}

/// The figures of the protocol.
fn figures(told: u8) -> foca::Config {
    let some = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |span, number| {
        Some(PeriodicParams { frequency: Duration::from_micros(span), num_members: some(number) })
    };
    foca::Config {
        probe_period: Duration::from_micros(PERIOD),
        probe_rtt: Duration::from_micros(ANSWER),
        num_indirect_probes: some(ASKED),
        max_transmissions: NonZeroU8::new(told).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(SUSPICION),
        max_packet_size: some(DATAGRAM - LENGTH),
        notify_down_members: true,
        periodic_announce: every(MORE, 1),
        periodic_announce_to_down_members: every(REVIVAL.0, REVIVAL.1),
        periodic_gossip: every(GOSSIP.0, GOSSIP.1),
        ..foca::Config::simple()
    }
}

impl Node {
    /// Begins in a fleet that is one scope, knowing nobody.
    pub fn new(now: Micros, seed: u64, own: Identity, config: NodeConfig) -> Self {
        Node::with_scope(now, seed, own, config, "")
    }

    /// Begins in a scope, knowing nobody; a name that is too long is cut.
    pub fn with_scope(now: Micros, seed: u64, own: Identity, config: NodeConfig, scope: &str) -> Self {
        let scope = &cut(scope);
        let fleet = Envelope::fleet(&config.fleet_name);
        let between = Between::new(now, seed, scope, own.address);
        let mut view = MemberTable::default();
        view.own(&own);
        let count = LiveCount::new(now, config.configured_count);
        Node {
            life: own.incarnation,
            foca: Foca::new(own, figures(TOLD), Pcg64::seed_from_u64(seed), PostcardCodec),
            fleet,
            scope: Envelope::scope(&config.fleet_name, scope),
            config,
            timers: BTreeMap::new(),
            number: 0,
            view,
            doubted: BTreeSet::new(),
            count,
            // It says what is there, not what there should be.
            own_count: LiveCount::new(now, 1),
            counted: 1,
            between,
            elsewhere: BTreeSet::new(),
            kin_at: now,
            exchange: Exchange::default(),
            bucket: Bucket::new(now),
            told: TOLD,
            outbox: Vec::new(),
            news: Vec::new(),
            seeds_at: now,
            looked: now,
            left: false,
            told_cut: false,
            bytes_sent: 0,
            discarded_datagrams: BTreeMap::new(),
        }
    }

    /// Who this process is.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// What it holds of the others.
    pub fn members(&self) -> &MemberTable {
        &self.view
    }

    /// How many processes share the servers.
    pub fn live_count(&self) -> &LiveCount {
        &self.count
    }

    /// What it holds of other scopes.
    pub fn scopes(&self) -> &ScopeTable {
        &self.between.scopes
    }

    /// The scope of this process; empty if the whole fleet is one.
    pub fn scope(&self) -> &str {
        &self.between.name
    }

    /// So many fell silent that it is taken for a cut.
    pub fn suspects_partition(&self) -> bool {
        self.count.suspects_partition() || self.own_count.suspects_partition()
    }

    /// Nobody else is known to be there.
    pub fn is_alone(&self) -> bool {
        self.view.size() == 1 && self.between.scopes.counted() == 0
    }

    /// When the time must be told next.
    pub fn next_deadline(&self) -> Micros {
        let timer = self.timers.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
        // Who has left asks and talks no more.
        let talks = self.seeds_at.min(self.between.next_due()).min(self.exchange.again);
        let talks = if self.left { Micros::MAX } else { talks };
        timer.min(self.looked + LOOK).min(talks)
    }

    /// Takes what is to be sent.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes what people are told.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.news)
    }

    /// The configuration says another number of processes.
    pub fn set_configured_count(&mut self, balancers: usize) {
        self.count.set_configured(balancers);
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8]) {
        let fleet = |kind| match kind {
            DatagramKind::Swim | DatagramKind::AntiEntropy => Some(self.scope),
            DatagramKind::ScopeGossip => Some(self.fleet),
        };
        let (envelope, content) = match Envelope::open_any(fleet, datagram) {
            Ok((envelope, DatagramKind::Swim, content)) => (envelope, content),
            Ok((_, DatagramKind::ScopeGossip, content)) => return self.talked(now, content),
            Ok((envelope, DatagramKind::AntiEntropy, content)) => {
                return self.synced(now, envelope.digest, content)
            }
            Err(odd) => return self.threw_away(odd),
        };
        let mut wanted = Wanted::default();
        let Ok((from, doubted)) = wire::read(content) else { return self.threw_away(DatagramError::Content) };
        let done = self.foca.handle_data(content, &mut wanted);
        if done.is_ok() {
            self.doubted.extend(doubted);
        }
        self.done(now, wanted);
        match done {
            Ok(()) => self.view.heard(now, from, envelope.digest),
            // A member that was held dead, or this process at an earlier life, is no oddity.
            Err(foca::Error::DataFromOurselves | foca::Error::NotConnected) => {}
            Err(_) => self.threw_away(DatagramError::Content),
        }
    }

    /// A member tells what it knows of scopes.
    fn talked(&mut self, now: Micros, content: &[u8]) {
        let Some(talk) = Talk::read(content) else { return self.threw_away(DatagramError::Content) };
        let news = self.between.scopes.is_empty();
        let (letters, elsewhere) = self.between.heard(now, &talk, &self.view, self.own_count.get());
        if self.config.seeds.contains(&talk.from) {
            match elsewhere {
                true => self.elsewhere.insert(talk.from),
                false => self.elsewhere.remove(&talk.from),
            };
        }
        self.write(now, self.fleet, DatagramKind::ScopeGossip, letters);
        if now >= self.kin_at && !self.left {
            self.kin_at = now + KIN;
            for who in self.between.kin(now, &self.view) {
                self.announce(now, Identity::unidentified(who));
            }
        }
        if news != self.between.scopes.is_empty() {
            self.look(now);
        }
    }

    /// A member of the scope asks for ranges, or gives some.
    fn synced(&mut self, now: Micros, digest: u32, content: &[u8]) {
        let Some(said) = Sync::read(content) else { return self.threw_away(DatagramError::Content) };
        let from = said.from();
        // Who is not known has not announced itself, and what it is given could go to anybody.
        if self.left || !self.view.get(from).is_some_and(|seen| seen.status.is_live()) {
            return;
        }
        self.view.heard(now, from, digest);
        match said {
            Sync::Ask { place, digests, .. } => {
                let Some(gives) = sync::give(self.identity().address, &self.view, place, &digests) else {
                    return self.threw_away(DatagramError::Content);
                };
                gives.iter().for_each(|give| self.sync(now, from, give));
            }
            Sync::Give { place, members, .. } => {
                self.exchange.given(place);
                let mut wanted = Wanted::default();
                let members = members.into_iter().map(|who| Member::new(who, 0, State::Alive));
                // Who is missed by one only is asked for by whoever else misses it: it need not go round.
                let _ = self.foca.apply_many(members, false, &mut wanted);
                self.done(now, wanted);
            }
        }
    }

    fn sync(&mut self, now: Micros, to: SocketAddr, said: &Sync) {
        let letter = said.write().map(|content| (to, content));
        self.write(now, self.scope, DatagramKind::AntiEntropy, letter.into_iter().collect());
    }

    fn write(&mut self, now: Micros, fleet: u32, kind: DatagramKind, letters: Vec<(SocketAddr, Vec<u8>)>) {
        let envelope = Envelope { fleet, digest: self.view.digest() };
        let weight = if kind == DatagramKind::ScopeGossip { Weight::Record } else { Weight::News };
        for (to, content) in letters {
            let length = LENGTH + content.len();
            if self.bucket.room(now, weight, length, length).is_some() {
                self.post(to, envelope.seal_as(kind, &content));
            }
        }
    }

    /// Somebody holds another view: asks for what it has there.
    fn ask(&mut self, now: Micros, who: SocketAddr) {
        let present = self.between.scopes.present(now);
        match self.exchange.ask(self.identity().address, &self.view, present) {
            Some(ask) => self.sync(now, who, &ask),
            None => {
                let who = self.view.get(who).map(|seen| seen.identity.clone());
                who.into_iter().for_each(|who| self.announce(now, who));
            }
        }
    }

    /// Sends what `foca` wrote, as far as the bound on bytes lets it.
    fn bounded(&mut self, now: Micros, to: SocketAddr, mut content: Vec<u8>) {
        // It was written just now.
        let Ok((news, least)) = wire::head(&content) else { return };
        // That this process leaves is said once.
        let weight = if news && !self.left { Weight::News } else { Weight::Vital };
        let Some(room) = self.bucket.room(now, weight, LENGTH + least, LENGTH + content.len()) else {
            return;
        };
        if room < LENGTH + content.len() && wire::cut(&mut content, room - LENGTH).is_err() {
            return;
        }
        let envelope = Envelope { fleet: self.scope, digest: self.view.digest() };
        self.post(to, envelope.seal(&content));
    }

    fn post(&mut self, to: SocketAddr, datagram: Vec<u8>) {
        self.bytes_sent += datagram.len() as u64;
        self.bucket.take(datagram.len());
        self.outbox.push((to, datagram));
    }

    /// Lets news go along less often while there are many.
    fn moderate(&mut self) {
        let told = if self.foca.updates_backlog() > MANY { TOLD_OF_MANY } else { TOLD };
        if std::mem::replace(&mut self.told, told) != told {
            // Only figures that `foca` refuses to change while it runs could fail.
            let _ = self.foca.set_config(figures(told));
        }
    }

    fn announce(&mut self, now: Micros, who: Identity) {
        let mut wanted = Wanted::default();
        // It can only fail to encode, which is tried again.
        let _ = self.foca.announce(who, &mut wanted);
        self.done(now, wanted);
    }

    fn threw_away(&mut self, odd: DatagramError) {
        let name = match odd {
            DatagramError::Magic => "mark",
            DatagramError::Version => "version",
            DatagramError::Checksum => "damaged",
            DatagramError::Fleet => "fleet",
            DatagramError::Content => "content",
        };
        *self.discarded_datagrams.entry(name).or_default() += 1;
    }

    /// It is so late.
    pub fn handle_time(&mut self, now: Micros) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut wanted = Wanted::default();
            // A timer of before a change of identity has nothing to do; `foca` goes on after a cycle that was
            // cut short.
            let _ = self.foca.handle_timer(timer, &mut wanted);
            self.done(now, wanted);
        }
        if now >= self.seeds_at && !self.left {
            // With others it is only now and then: both halves of a long cut may have forgotten each other.
            let alone = self.view.size() == 1;
            self.seeds_at = now + if alone { SEEDS } else { MORE };
            let asks = self.between.asks(now, alone);
            for seed in self.config.seeds.clone() {
                if seed == self.identity().address || self.view.get(seed).is_some_and(|s| s.status.is_live())
                {
                    continue;
                }
                if !self.elsewhere.contains(&seed) {
                    self.announce(now, Identity::unidentified(seed));
                }
                if asks {
                    let letter = self.between.ask(&self.view, self.own_count.get());
                    let letters = letter.into_iter().map(|letter| (seed, letter)).collect();
                    self.write(now, self.fleet, DatagramKind::ScopeGossip, letters);
                }
            }
        }
        if !self.left {
            let letters = self.between.talk(now, &self.view, self.own_count.get());
            self.write(now, self.fleet, DatagramKind::ScopeGossip, letters);
        }
        if !self.left && self.exchange.is_due(now) {
            self.view.other(now).into_iter().for_each(|who| self.ask(now, who));
        }
        if now < self.looked + LOOK {
            return;
        }
        self.looked = now;
        self.look(now);
        // Views that differ come together by being exchanged; news alone go along only so often.
        let dissenter = self.view.dissenter(now).filter(|_| !self.left);
        if let Some(who) = dissenter.map(|who| who.address) {
            self.ask(now, who);
        }
    }

    /// Says that it leaves.
    pub fn leave(&mut self, now: Micros) {
        let mut wanted = Wanted::default();
        let last = self.identity().into_leaving();
        // What cannot be said is found out by silence.
        let _ = self.foca.change_identity(last, &mut wanted);
        let _ = self.foca.leave_cluster(&mut wanted);
        self.left = true;
        self.done(now, wanted);
    }

    fn tell(&mut self, news: MembershipEvent) {
        // What is in force is told in any case.
        if self.news.len() < NEWS_MOST
            || matches!(
                news,
                MembershipEvent::LiveCount(_)
                    | MembershipEvent::PartitionSuspected(_)
                    | MembershipEvent::ScopeChanged(..)
            )
        {
            self.news.push(news);
        }
    }

    /// Carries out what `foca` wants, and takes in what it tells.
    fn done(&mut self, now: Micros, wanted: Wanted) {
        let before = self.view.digest();
        self.exchange.came(now, wanted.told.iter().filter(|told| matches!(told, Told::Up(_))).count());
        for told in wanted.told {
            match told {
                Told::Up(who) => self.stands(now, &who, MemberStatus::Alive),
                Told::Down(who) => {
                    let standing = if who.leaving { MemberStatus::Left } else { MemberStatus::Dead };
                    self.stands(now, &who, standing);
                }
                // One that was not there is told of as up, if it is.
                Told::Renamed(new) => {
                    let standing = self.view.get(new.address).map(|seen| seen.status);
                    if let Some(standing) = standing.filter(|standing| standing.is_live()) {
                        self.stands(now, &new, standing);
                    }
                }
                Told::CameBack => self.tell(MembershipEvent::Rejoined),
            }
        }
        for (after, timer) in wanted.timers {
            if let Timer::ChangeSuspectToDown { member_id, .. } = &timer {
                self.doubted.insert(member_id.address);
            }
            self.number += 1;
            self.timers.insert((now + after, self.number), timer);
        }
        let own = self.foca.identity();
        if self.life != own.incarnation {
            self.life = own.incarnation;
            self.view.own(own);
        }
        for (to, content) in wanted.send {
            self.bounded(now, to, content);
        }
        self.moderate();
        if before != self.view.digest() {
            self.look(now);
        }
    }

    fn stands(&mut self, now: Micros, who: &Identity, standing: MemberStatus) {
        let old = self.view.get(who.address).map(|seen| seen.status);
        if !self.view.set(now, who, standing) {
            return;
        }
        match standing {
            MemberStatus::Suspected => self.fell_silent(now),
            // Silence of which only its end is heard.
            MemberStatus::Dead if old == Some(MemberStatus::Alive) => self.fell_silent(now),
            _ => {}
        }
        if matches!(standing, MemberStatus::Left | MemberStatus::Dead) {
            self.own_count.member_departed(now, standing == MemberStatus::Left);
        }
        if standing == MemberStatus::Dead {
            self.count.freeze(now);
        }
        // One that was suspected meanwhile has been told of.
        if standing == MemberStatus::Alive && !old.is_some_and(MemberStatus::is_live) {
            let other = self.view.namesake(who);
            let own = (self.identity().name == who.name).then_some(self.identity().address);
            if let Some(other) = other.or(own) {
                self.tell(MembershipEvent::NameConflict(who.name.clone(), other, who.address));
            }
        }
        self.tell(MembershipEvent::MemberChanged(who.clone(), standing));
    }

    fn fell_silent(&mut self, now: Micros) {
        self.count.member_suspected(now);
        self.own_count.member_suspected(now);
    }

    /// Takes suspicions in, and brings the count up to date.
    fn look(&mut self, now: Micros) {
        if !self.doubted.is_empty() {
            // `foca` tells of no suspicion by itself, and can be asked only for all that it knows.
            let doubted = std::mem::take(&mut self.doubted);
            let states = self.foca.iter_membership_state().filter(|m| doubted.contains(&m.id().address));
            let states: Vec<(Identity, State)> = states.map(|m| (m.id().clone(), m.state())).collect();
            for (who, state) in states {
                match state {
                    State::Alive => self.stands(now, &who, MemberStatus::Alive),
                    State::Suspect => {
                        self.doubted.insert(who.address);
                        self.stands(now, &who, MemberStatus::Suspected);
                    }
                    State::Down => {}
                }
            }
        }
        self.view.tidy(now);
        let before = self.count.get();
        let agreed = self.view.agreement_ratio(now) >= AGREED;
        self.own_count.update(now, self.view.size(), self.view.unsuspected_count(), agreed);
        for (name, hearing) in self.between.scopes.look(now, before) {
            self.tell(MembershipEvent::ScopeChanged(name, hearing));
        }
        let scopes = &self.between.scopes;
        let counted = self.own_count.get().max(scopes.own(now)) + scopes.counted();
        // Each scope has waited until it was safe to count fewer.
        let fell = std::mem::replace(&mut self.counted, counted).saturating_sub(counted);
        self.count.confirm_departures(fell);
        let there = if self.is_alone() { 1 } else { counted };
        self.count.update(now, there, self.view.unsuspected_count() + self.between.scopes.sure(), agreed);
        let cut = self.suspects_partition();
        if std::mem::replace(&mut self.told_cut, cut) != cut {
            self.tell(MembershipEvent::PartitionSuspected(cut));
        }
        if self.count.get() != before {
            self.tell(MembershipEvent::LiveCount(self.count.get()));
        }
    }
}
