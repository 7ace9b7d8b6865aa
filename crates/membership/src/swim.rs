//! SWIM failure detection and dissemination by `foca`: its parameters, its timers and the adapter of its runtime.

use crate::envelope::ENVELOPE_BYTES;
use crate::identity::Identity;
use crate::outbox::OutgoingMessage;
use crate::Micros;
use foca::{
    Foca, Member, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use rand_pcg_next::rand_core::SeedableRng;
use rand_pcg_next::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Longest datagram, envelope included.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Protocol period: a random member is pinged this often.
const PROBE_INTERVAL_US: Micros = 180_000;
/// Time for a direct ack before indirect probes are sent.
const PROBE_TIMEOUT_US: Micros = 70_000;
/// Members that are asked to ping a silent one.
const INDIRECT_PROBE_MEMBERS: usize = 3;
/// Time in which a suspected member may refute the suspicion.
const SUSPICION_TIMEOUT_US: Micros = 1_350_000;
/// Datagrams on which a membership update is piggybacked.
const MAX_TRANSMISSIONS: u8 = 16;
/// Updates under way from which on each is transmitted less often: together they still reach all members.
const MAX_BACKLOG_UPDATES: usize = 100;
/// Datagrams on which an update is piggybacked while there are that many.
const MAX_BACKLOG_TRANSMISSIONS: u8 = 8;
/// Interval of gossip.
const GOSSIP: PeriodicTask = PeriodicTask { interval_us: 1_000_000, members: 1 };
/// Interval at which dead members are contacted, so that healed partitions are found.
const REVIVAL: PeriodicTask = PeriodicTask { interval_us: 1_000_000, members: 1 };
/// Interval at which a member is asked for others that it knows.
const ANNOUNCE: PeriodicTask = PeriodicTask { interval_us: 10_000_000, members: 1 };

/// Something that is sent to a few random members at an interval.
struct PeriodicTask {
    interval_us: Micros,
    members: usize,
}

impl PeriodicTask {
    const fn params(&self) -> PeriodicParams {
        PeriodicParams {
            frequency: Duration::from_micros(self.interval_us),
            num_members: non_zero(self.members),
        }
    }
}

const fn non_zero(number: usize) -> NonZeroUsize {
    match NonZeroUsize::new(number) {
        Some(number) => number,
        None => NonZeroUsize::MIN,
    }
}

/// The parameters of `foca`.
fn foca_config(max_transmissions: u8) -> foca::Config {
    foca::Config {
        probe_period: Duration::from_micros(PROBE_INTERVAL_US),
        probe_rtt: Duration::from_micros(PROBE_TIMEOUT_US),
        num_indirect_probes: non_zero(INDIRECT_PROBE_MEMBERS),
        max_transmissions: NonZeroU8::new(max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(SUSPICION_TIMEOUT_US),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: Some(ANNOUNCE.params()),
        periodic_announce_to_down_members: Some(REVIVAL.params()),
        periodic_gossip: Some(GOSSIP.params()),
        ..foca::Config::simple()
    }
}

/// What `foca` reports of a member.
pub(crate) enum MemberChange {
    /// It is alive.
    Up(Identity),
    /// It was declared dead, or has left.
    Down(Identity),
    /// It has a new identity at the same address.
    Renamed(Identity),
    /// This process had been declared dead, and rejoined in a new incarnation.
    Rejoined,
}

/// What one operation of `foca` wants done.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) changes: Vec<MemberChange>,
    pub(crate) messages: Vec<OutgoingMessage>,
    /// Members of which a suspicion began.
    pub(crate) suspects: Vec<SocketAddr>,
    timers: Vec<DelayedTimer>,
    /// Why the operation failed.
    pub(crate) error: Option<foca::Error>,
}

struct DelayedTimer {
    delay: Micros,
    timer: Timer<Identity>,
}

impl Runtime<Identity> for &mut SwimOutput {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        let change = match notification {
            Notification::MemberUp(member) => MemberChange::Up(member.clone()),
            Notification::MemberDown(member) => MemberChange::Down(member.clone()),
            Notification::Rename(_, renamed) => MemberChange::Renamed(renamed.clone()),
            Notification::Rejoin(_) => MemberChange::Rejoined,
            Notification::Active | Notification::Idle | Notification::Defunct => return,
        };
        self.changes.push(change);
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.messages.push(OutgoingMessage { to: to.address, content: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.timers.push(DelayedTimer { delay: after.as_micros() as Micros, timer });
    }
}

type FocaNode = Foca<Identity, PostcardCodec, Pcg64, NoCustomBroadcast>;

/// When a timer is due; the sequence number keeps the order of timers of one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_at: Micros,
    sequence: u64,
}

/// The SWIM protocol of one process.
pub(crate) struct Swim {
    foca: FocaNode,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    timers_started: u64,
    /// The incarnation at the last call of `take_renewed_identity`.
    known_incarnation: u64,
    max_transmissions: u8,
}

impl Swim {
    /// Starts without knowing other members.
    pub(crate) fn new(seed: u64, local: Identity) -> Self {
        let random = Pcg64::seed_from_u64(seed);
        Swim {
            known_incarnation: local.incarnation,
            foca: Foca::new(local, foca_config(MAX_TRANSMISSIONS), random, PostcardCodec),
            timers: BTreeMap::new(),
            timers_started: 0,
            max_transmissions: MAX_TRANSMISSIONS,
        }
    }

    /// The identity of this process, in its present incarnation.
    pub(crate) fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// The identity of this process, if its incarnation has changed since the last call.
    pub(crate) fn take_renewed_identity(&mut self) -> Option<&Identity> {
        let identity = self.foca.identity();
        if self.known_incarnation == identity.incarnation {
            return None;
        }
        self.known_incarnation = identity.incarnation;
        Some(identity)
    }

    /// When the next timer is due.
    pub(crate) fn next_deadline(&self) -> Micros {
        self.timers.first_key_value().map_or(Micros::MAX, |(key, _)| key.due_at)
    }

    /// Runs one operation of `foca` and starts its timers.
    fn run(
        &mut self,
        now: Micros,
        operation: impl FnOnce(&mut FocaNode, &mut SwimOutput) -> Result<(), foca::Error>,
    ) -> SwimOutput {
        let mut output = SwimOutput::default();
        output.error = operation(&mut self.foca, &mut output).err();
        for DelayedTimer { delay, timer } in output.timers.drain(..) {
            if let Timer::ChangeSuspectToDown { member_id, .. } = &timer {
                output.suspects.push(member_id.address);
            }
            self.timers_started += 1;
            let key = TimerKey { due_at: now + delay, sequence: self.timers_started };
            self.timers.insert(key, timer);
        }
        output
    }

    /// Handles a packet of another member.
    pub(crate) fn handle_packet(&mut self, now: Micros, packet: &[u8]) -> SwimOutput {
        self.run(now, |foca, output| foca.handle_data(packet, output))
    }

    /// Runs the next timer that is due; `None` if none is. An error needs no action: a timer of a former identity
    /// has nothing to do, and `foca` recovers from a probe cycle that was cut short.
    pub(crate) fn run_due_timer(&mut self, now: Micros) -> Option<SwimOutput> {
        let next = self.timers.first_entry().filter(|next| next.key().due_at <= now)?;
        let timer = next.remove();
        Some(self.run(now, |foca, output| foca.handle_timer(timer, output)))
    }

    /// Announces this process to a member. An error needs no action: it is repeated.
    pub(crate) fn announce(&mut self, now: Micros, member: Identity) -> SwimOutput {
        self.run(now, |foca, output| foca.announce(member, output))
    }

    /// Takes in members that anti-entropy delivered. They are not disseminated: whoever else lacks them requests
    /// them too.
    pub(crate) fn add_members(&mut self, now: Micros, members: Vec<Identity>) -> SwimOutput {
        let members = members.into_iter().map(|member| Member::new(member, 0, State::Alive));
        self.run(now, |foca, output| foca.apply_many(members, false, output))
    }

    /// Announces that this process leaves. An error needs no action: silence is detected as well.
    pub(crate) fn leave(&mut self, now: Micros) -> SwimOutput {
        let leaving = self.identity().into_leaving();
        self.run(now, |foca, output| {
            let changed = foca.change_identity(leaving, &mut *output);
            let left = foca.leave_cluster(output);
            changed.and(left)
        })
    }

    /// The members at these addresses, with their states. Walks all members, as `foca` reports no suspicions.
    pub(crate) fn members_at(&self, addresses: &BTreeSet<SocketAddr>) -> Vec<Member<Identity>> {
        let members = self.foca.iter_membership_state();
        members.filter(|member| addresses.contains(&member.id().address)).cloned().collect()
    }

    /// Transmits each update less often while many are under way.
    pub(crate) fn adapt_transmissions(&mut self) {
        let backlogged = self.foca.updates_backlog() > MAX_BACKLOG_UPDATES;
        let max_transmissions = if backlogged { MAX_BACKLOG_TRANSMISSIONS } else { MAX_TRANSMISSIONS };
        if self.max_transmissions == max_transmissions {
            return;
        }
        self.max_transmissions = max_transmissions;
        // It fails only for parameters that must not change while `foca` runs; these stay.
        let _ = self.foca.set_config(foca_config(max_transmissions));
    }
}
