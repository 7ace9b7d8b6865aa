//! SWIM failure detection and dissemination with `foca`: parameters, timers and the runtime adapter.

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

/// Maximum size of a datagram, envelope included.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Protocol period: the interval at which a random member is pinged.
const PROBE_INTERVAL_US: Micros = 180_000;
/// Time to wait for a direct ack before indirect probes are sent.
const PROBE_TIMEOUT_US: Micros = 70_000;
/// Number of members that are requested to ping a member that does not respond.
const INDIRECT_PROBES: usize = 3;
/// Time in which a suspected member may refute the suspicion.
const SUSPICION_TIMEOUT_US: Micros = 1_350_000;
/// Number of datagrams on which a membership update is piggybacked.
const MAX_TRANSMISSIONS: u8 = 16;
/// If more updates than this are pending, each is transmitted less often; all members still receive them.
const MAX_BACKLOG_UPDATES: usize = 100;
/// Number of datagrams on which an update is piggybacked while the backlog exceeds that limit.
const MAX_BACKLOG_TRANSMISSIONS: u8 = 8;
/// Gossip of pending updates to a random member.
const GOSSIP: PeriodicTask = PeriodicTask { interval_us: 1_000_000, members: 1 };
/// Announcements to members declared dead, so that healed partitions are detected.
const ANNOUNCE_TO_DOWN: PeriodicTask = PeriodicTask { interval_us: 1_000_000, members: 1 };
/// Announcements to live members, which respond with other members that they know.
const ANNOUNCE: PeriodicTask = PeriodicTask { interval_us: 10_000_000, members: 1 };

/// A message that is sent to random members at an interval.
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

/// The configuration of `foca`.
fn foca_config(max_transmissions: u8) -> foca::Config {
    foca::Config {
        probe_period: Duration::from_micros(PROBE_INTERVAL_US),
        probe_rtt: Duration::from_micros(PROBE_TIMEOUT_US),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(SUSPICION_TIMEOUT_US),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: Some(ANNOUNCE.params()),
        periodic_announce_to_down_members: Some(ANNOUNCE_TO_DOWN.params()),
        periodic_gossip: Some(GOSSIP.params()),
        ..foca::Config::simple()
    }
}

/// A change of a member that `foca` reports.
pub(crate) enum MemberChange {
    /// The member is alive.
    Up(Identity),
    /// The member was declared dead, or has left.
    Down(Identity),
    /// The member has a new identity at the same address.
    Renamed(Identity),
    /// This process had been declared dead, and rejoined in a new incarnation.
    Rejoined,
}

/// The effects that one `foca` operation requests.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) changes: Vec<MemberChange>,
    pub(crate) messages: Vec<OutgoingMessage>,
    /// Members that became suspected.
    pub(crate) suspects: Vec<SocketAddr>,
    timers: Vec<DelayedTimer>,
    /// The error with which the operation failed.
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

/// The due time of a timer; the sequence number preserves the order of timers that are due at the same time.
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

    /// The identity of this process, in its current incarnation.
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

    /// The time at which the next timer is due.
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

    /// Runs the next timer that is due; `None` if none is. An error needs no action: a timer of a former
    /// identity has no effect, and `foca` recovers from an incomplete probe cycle.
    pub(crate) fn run_due_timer(&mut self, now: Micros) -> Option<SwimOutput> {
        let next = self.timers.first_entry().filter(|next| next.key().due_at <= now)?;
        let timer = next.remove();
        Some(self.run(now, |foca, output| foca.handle_timer(timer, output)))
    }

    /// Announces this process to a member. An error needs no action: announcements are repeated.
    pub(crate) fn announce(&mut self, now: Micros, member: Identity) -> SwimOutput {
        self.run(now, |foca, output| foca.announce(member, output))
    }

    /// Adds members received by anti-entropy. They are not disseminated: other members that lack them request
    /// them as well.
    pub(crate) fn add_members(&mut self, now: Micros, members: Vec<Identity>) -> SwimOutput {
        let members = members.into_iter().map(|member| Member::new(member, 0, State::Alive));
        self.run(now, |foca, output| foca.apply_many(members, false, output))
    }

    /// Announces the departure of this process. An error needs no action: failure detection notices the
    /// departure as well.
    pub(crate) fn leave(&mut self, now: Micros) -> SwimOutput {
        let leaving = self.identity().into_leaving();
        self.run(now, |foca, output| {
            let changed = foca.change_identity(leaving, &mut *output);
            let left = foca.leave_cluster(output);
            changed.and(left)
        })
    }

    /// The members at the given addresses, with their states. Iterates over all members, because `foca`
    /// reports no suspicions.
    pub(crate) fn members_at(&self, addresses: &BTreeSet<SocketAddr>) -> Vec<Member<Identity>> {
        let members = self.foca.iter_membership_state();
        members.filter(|member| addresses.contains(&member.id().address)).cloned().collect()
    }

    /// Reduces the number of transmissions per update while many updates are pending.
    pub(crate) fn adapt_transmissions(&mut self) {
        let backlogged = self.foca.updates_backlog() > MAX_BACKLOG_UPDATES;
        let max_transmissions = if backlogged { MAX_BACKLOG_TRANSMISSIONS } else { MAX_TRANSMISSIONS };
        if self.max_transmissions == max_transmissions {
            return;
        }
        self.max_transmissions = max_transmissions;
        // Fails only if a parameter changes that must stay constant while `foca` runs; none of them does.
        let _ = self.foca.set_config(foca_config(max_transmissions));
    }
}
