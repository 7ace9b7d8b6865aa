//! One process among its peers: SWIM by `foca`, and what follows from it.

use crate::envelope::{Envelope, Odd, LENGTH};
use crate::view::{Standing, View};
use crate::{wire, Count, Identity, Micros};
use foca::{Foca, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
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
/// News go along with so many datagrams.
const TOLD: u8 = 16;
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
/// An agreement of this share is one.
const AGREED: f64 = 0.9;
/// News that wait to be taken; beyond them they are counted only.
const NEWS_MOST: usize = 256;

/// What a process is told of its peers.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// Addresses that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Processes that there should be.
    pub balancers: usize,
}

/// Something that people are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A member stands so from now on.
    Member(Identity, Standing),
    /// Two members that are there have one name.
    OneName(String, SocketAddr, SocketAddr),
    /// This process was held dead, and has come back.
    CameBack,
    /// So many fell silent together that it is taken for a cut, or no longer.
    Cut(bool),
    /// The count in force has changed.
    Count(usize),
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
pub struct Peers {
    foca: Foca<Identity, PostcardCodec, Pcg64, foca::NoCustomBroadcast>,
    config: Config,
    fleet: u32,
    /// By when they are due, and their order.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    number: u64,
    view: View,
    /// Addresses of members that are suspected, as far as it was told or found out since the last look.
    doubted: BTreeSet<SocketAddr>,
    /// The life that is part of the view's digest.
    life: u64,
    count: Count,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    news: Vec<News>,
    seeds_at: Micros,
    looked: Micros,
    left: bool,
    told_cut: bool,
    /// Bytes that were sent.
    pub bytes_sent: u64,
    /// Datagrams that were thrown away, by why.
    pub odd: BTreeMap<&'static str, u64>,
}

/// The figures of the protocol.
fn figures() -> foca::Config {
    let some = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |span, number| {
        Some(PeriodicParams { frequency: Duration::from_micros(span), num_members: some(number) })
    };
    foca::Config {
        probe_period: Duration::from_micros(PERIOD),
        probe_rtt: Duration::from_micros(ANSWER),
        num_indirect_probes: some(ASKED),
        max_transmissions: NonZeroU8::new(TOLD).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(SUSPICION),
        max_packet_size: some(DATAGRAM - LENGTH),
        notify_down_members: true,
        periodic_announce: every(MORE, 1),
        periodic_announce_to_down_members: every(REVIVAL.0, REVIVAL.1),
        periodic_gossip: every(GOSSIP.0, GOSSIP.1),
        ..foca::Config::simple()
    }
}

impl Peers {
    /// Begins, knowing nobody.
    pub fn new(now: Micros, seed: u64, own: Identity, config: Config) -> Self {
        let fleet = Envelope::fleet(&config.fleet);
        let mut view = View::default();
        view.own(&own);
        let count = Count::new(now, config.balancers);
        Peers {
            life: own.life,
            foca: Foca::new(own, figures(), Pcg64::seed_from_u64(seed), PostcardCodec),
            config,
            fleet,
            timers: BTreeMap::new(),
            number: 0,
            view,
            doubted: BTreeSet::new(),
            count,
            outbox: Vec::new(),
            news: Vec::new(),
            seeds_at: now,
            looked: now,
            left: false,
            told_cut: false,
            bytes_sent: 0,
            odd: BTreeMap::new(),
        }
    }

    /// Who this process is.
    pub fn own(&self) -> &Identity {
        self.foca.identity()
    }

    /// What it holds of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How many processes share the servers.
    pub fn count(&self) -> &Count {
        &self.count
    }

    /// Nobody else is known to be there.
    pub fn alone(&self) -> bool {
        self.view.size() == 1
    }

    /// When the time must be told next.
    pub fn next_due(&self) -> Micros {
        let timer = self.timers.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
        timer.min(self.seeds_at).min(self.looked + LOOK)
    }

    /// Takes what is to be sent.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes what people are told.
    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// The configuration says another number of processes.
    pub fn retell(&mut self, balancers: usize) {
        self.count.retell(balancers);
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, datagram: &[u8]) {
        let (envelope, content) = match Envelope::open(self.fleet, datagram) {
            Ok(opened) => opened,
            Err(odd) => return self.threw_away(odd),
        };
        let mut wanted = Wanted::default();
        let Ok((from, doubted)) = wire::read(content) else { return self.threw_away(Odd::Content) };
        let done = self.foca.handle_data(content, &mut wanted);
        if done.is_ok() {
            self.doubted.extend(doubted);
        }
        self.done(now, wanted);
        match done {
            Ok(()) => self.view.heard(now, from, envelope.digest),
            // A member that was held dead, or this process at an earlier life, is no oddity.
            Err(foca::Error::DataFromOurselves | foca::Error::NotConnected) => {}
            Err(_) => self.threw_away(Odd::Content),
        }
    }

    fn threw_away(&mut self, odd: Odd) {
        let name = match odd {
            Odd::Mark => "mark",
            Odd::Version => "version",
            Odd::Damaged => "damaged",
            Odd::Fleet => "fleet",
            Odd::Content => "content",
        };
        *self.odd.entry(name).or_default() += 1;
    }

    /// It is so late.
    pub fn time(&mut self, now: Micros) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut wanted = Wanted::default();
            // A timer of before a change of identity has nothing to do; `foca` goes on after a cycle that was cut short.
            let _ = self.foca.handle_timer(timer, &mut wanted);
            self.done(now, wanted);
        }
        if now >= self.seeds_at && !self.left {
            // With others it is only now and then: both halves of a long cut may have forgotten each other.
            self.seeds_at = now + if self.alone() { SEEDS } else { MORE };
            for seed in self.config.seeds.clone() {
                if seed != self.own().address && !self.view.get(seed).is_some_and(|s| s.standing.is_there()) {
                    let mut wanted = Wanted::default();
                    // It can only fail to encode, which is tried again.
                    let _ = self.foca.announce(Identity::unknown(seed), &mut wanted);
                    self.done(now, wanted);
                }
            }
        }
        if now < self.looked + LOOK {
            return;
        }
        self.looked = now;
        self.look(now);
        // Views that differ come together by being exchanged; news alone go along only so often.
        let dissenter = self.view.dissenter(now).filter(|_| !self.left);
        if let Some(who) = dissenter.cloned() {
            let mut wanted = Wanted::default();
            // It can only fail to encode, which is tried again.
            let _ = self.foca.announce(who, &mut wanted);
            self.done(now, wanted);
        }
    }

    /// Says that it leaves.
    pub fn leave(&mut self, now: Micros) {
        let mut wanted = Wanted::default();
        let last = self.own().leaves();
        // What cannot be said is found out by silence.
        let _ = self.foca.change_identity(last, &mut wanted);
        let _ = self.foca.leave_cluster(&mut wanted);
        self.left = true;
        self.done(now, wanted);
    }

    fn tell(&mut self, news: News) {
        // What is in force is told in any case.
        if self.news.len() < NEWS_MOST || matches!(news, News::Count(_) | News::Cut(_)) {
            self.news.push(news);
        }
    }

    /// Carries out what `foca` wants, and takes in what it tells.
    fn done(&mut self, now: Micros, wanted: Wanted) {
        let before = self.view.digest();
        for told in wanted.told {
            match told {
                Told::Up(who) => self.stands(now, &who, Standing::Present),
                Told::Down(who) => {
                    let standing = if who.leaving { Standing::Left } else { Standing::Dead };
                    self.stands(now, &who, standing);
                }
                // One that was not there is told of as up, if it is.
                Told::Renamed(new) => {
                    let standing = self.view.get(new.address).map(|seen| seen.standing);
                    if let Some(standing) = standing.filter(|standing| standing.is_there()) {
                        self.stands(now, &new, standing);
                    }
                }
                Told::CameBack => self.tell(News::CameBack),
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
        if self.life != own.life {
            self.life = own.life;
            self.view.own(own);
        }
        let envelope = Envelope { fleet: self.fleet, digest: self.view.digest() };
        for (to, content) in wanted.send {
            let datagram = envelope.seal(&content);
            self.bytes_sent += datagram.len() as u64;
            self.outbox.push((to, datagram));
        }
        if before != self.view.digest() {
            self.look(now);
        }
    }

    fn stands(&mut self, now: Micros, who: &Identity, standing: Standing) {
        let old = self.view.get(who.address).map(|seen| seen.standing);
        if !self.view.set(now, who, standing) {
            return;
        }
        match standing {
            Standing::Suspected => self.count.fell_silent(now),
            // Silence of which only its end is heard.
            Standing::Dead if old == Some(Standing::Present) => self.count.fell_silent(now),
            _ => {}
        }
        if matches!(standing, Standing::Left | Standing::Dead) {
            self.count.departed(now, standing == Standing::Left);
        }
        // One that was suspected meanwhile has been told of.
        if standing == Standing::Present && !old.is_some_and(Standing::is_there) {
            let other = self.view.namesake(who);
            let own = (self.own().name == who.name).then_some(self.own().address);
            if let Some(other) = other.or(own) {
                self.tell(News::OneName(who.name.clone(), other, who.address));
            }
        }
        self.tell(News::Member(who.clone(), standing));
    }

    /// Takes suspicions in, and brings the count up to date.
    fn look(&mut self, now: Micros) {
        if !self.doubted.is_empty() {
            // `foca` tells of no suspicion by itself, and can be asked only for all that it knows.
            let doubted = std::mem::take(&mut self.doubted);
            let states = self.foca.iter_membership_state().filter(|m| doubted.contains(&m.id().address));
            let states: Vec<(Identity, foca::State)> = states.map(|m| (m.id().clone(), m.state())).collect();
            for (who, state) in states {
                match state {
                    foca::State::Alive => self.stands(now, &who, Standing::Present),
                    foca::State::Suspect => {
                        self.doubted.insert(who.address);
                        self.stands(now, &who, Standing::Suspected);
                    }
                    foca::State::Down => {}
                }
            }
        }
        self.view.tidy(now);
        let before = self.count.get();
        let agreed = self.view.agreement(now) >= AGREED;
        self.count.look(now, self.view.size(), self.view.sure(), agreed);
        let cut = self.count.is_cut();
        if std::mem::replace(&mut self.told_cut, cut) != cut {
            self.tell(News::Cut(cut));
        }
        if self.count.get() != before {
            self.tell(News::Count(self.count.get()));
        }
    }
}
