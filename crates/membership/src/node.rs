//! One member of the fleet: its state, and the handling of datagrams and deadlines.

use crate::anti_entropy::{self, AntiEntropy, AntiEntropyMessage};
use crate::envelope::{DatagramError, DatagramKind, FleetHashes};
use crate::fleet_count::FleetCount;
use crate::foca_packet;
use crate::identity::{truncate_text, Identity};
use crate::live_count::LiveCount;
use crate::member_table::{MemberStatus, MemberTable};
use crate::membership_event::MembershipEvent;
use crate::outbox::{Outbox, OutgoingMessage};
use crate::scope_gossip::{ScopeGossip, ScopeGossipMessage};
use crate::scope_table::ScopeTable;
use crate::swim::{MemberChange, Swim, SwimOutput};
use crate::Micros;
use foca::State;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Interval of seed polls by a member that knows no other member of its scope.
const ALONE_SEED_POLL_INTERVAL_US: Micros = 500_000;
/// Interval of seed polls by other members: after a long partition, both sides may have removed each other
/// from their member tables.
const SEED_POLL_INTERVAL_US: Micros = 10_000_000;
/// Interval of the periodic check, which also sends a request to a member whose view differs.
const CHECK_INTERVAL_US: Micros = 500_000;
/// Minimum time between announcements to unknown members of the local scope that other members report.
const CONTACT_INTERVAL_US: Micros = 200_000;
/// The views agree if at least this share of the other members have the same view.
const MIN_AGREEMENT_RATIO: f64 = 0.9;
/// Maximum number of queued events; beyond it, only events that report a current state are queued.
const MAX_QUEUED_EVENTS: usize = 256;

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The name of the fleet.
    pub fleet_name: String,
    /// Addresses that the node polls to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The configured number of client proxies.
    pub configured_count: usize,
}

/// One member of the fleet.
pub struct Node {
    swim: Swim,
    config: NodeConfig,
    members: MemberTable,
    /// Addresses of members reported as suspected, whose state the next check looks up.
    suspects: BTreeSet<SocketAddr>,
    counts: FleetCount,
    scope_gossip: ScopeGossip,
    /// Seeds that belong to another scope.
    remote_seeds: BTreeSet<SocketAddr>,
    next_contact_at: Micros,
    anti_entropy: AntiEntropy,
    outbox: Outbox,
    events: Vec<MembershipEvent>,
    next_seed_poll_at: Micros,
    last_check_at: Micros,
    leaving: bool,
    partition_reported: bool,
    discarded_datagrams: BTreeMap<&'static str, u64>,
}

impl Node {
    /// Creates a node without a scope, which knows no other member.
    pub fn new(now: Micros, seed: u64, local: Identity, config: NodeConfig) -> Self {
        Node::with_scope(now, seed, local, config, "")
    }

    /// Creates a node in a scope, which knows no other member. Scope names are truncated to 64 bytes.
    pub fn with_scope(now: Micros, seed: u64, local: Identity, config: NodeConfig, scope: &str) -> Self {
        let scope = truncate_text(scope);
        let hashes = FleetHashes::new(&config.fleet_name, &scope);
        let mut members = MemberTable::default();
        members.set_local(&local);
        Node {
            scope_gossip: ScopeGossip::new(now, seed, &scope, local.address),
            swim: Swim::new(seed, local),
            members,
            suspects: BTreeSet::new(),
            counts: FleetCount::new(now, config.configured_count),
            remote_seeds: BTreeSet::new(),
            next_contact_at: now,
            anti_entropy: AntiEntropy::default(),
            outbox: Outbox::new(now, hashes),
            events: Vec::new(),
            next_seed_poll_at: now,
            last_check_at: now,
            leaving: false,
            partition_reported: false,
            discarded_datagrams: BTreeMap::new(),
            config,
        }
    }

    /// The identity of this process.
    pub fn identity(&self) -> &Identity {
        self.swim.identity()
    }

    /// The other members of the scope.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The number of client proxies that share the endpoints.
    pub fn live_count(&self) -> &LiveCount {
        self.counts.fleet()
    }

    /// The other scopes.
    pub fn scopes(&self) -> &ScopeTable {
        &self.scope_gossip.scopes
    }

    /// The name of the local scope; empty for a member without a scope.
    pub fn scope(&self) -> &str {
        &self.scope_gossip.scope
    }

    /// Whether so many members were suspected together that a network partition is suspected.
    pub fn suspects_partition(&self) -> bool {
        self.counts.suspects_partition()
    }

    /// Whether no other member is known to be live.
    pub fn is_alone(&self) -> bool {
        self.members.size() == 1 && self.scopes().live_count() == 0
    }

    /// Total bytes of all datagrams sent so far, without UDP and IP headers.
    pub fn bytes_sent(&self) -> u64 {
        self.outbox.bytes_sent()
    }

    /// Number of discarded datagrams by reason: `mark`, `version`, `damaged`, `fleet` or `content`.
    pub fn discarded_datagrams(&self) -> &BTreeMap<&'static str, u64> {
        &self.discarded_datagrams
    }

    /// The time at which [`Node::handle_time`] must be called next.
    pub fn next_deadline(&self) -> Micros {
        let next_check_at = self.last_check_at + CHECK_INTERVAL_US;
        let always = self.swim.next_deadline().min(next_check_at);
        if self.leaving {
            return always;
        }
        let unless_leaving = self
            .next_seed_poll_at
            .min(self.scope_gossip.next_deadline())
            .min(self.anti_entropy.next_deadline());
        always.min(unless_leaving)
    }

    /// Removes and returns the datagrams to send, with their destinations.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outbox.take()
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sets the configured number of client proxies.
    pub fn set_configured_count(&mut self, configured_count: usize) {
        self.counts.set_configured(configured_count);
    }

    /// Handles a datagram; an invalid one is counted and discarded.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8]) {
        if let Err(error) = self.dispatch_datagram(now, datagram) {
            *self.discarded_datagrams.entry(error.metric_key()).or_default() += 1;
        }
    }

    fn dispatch_datagram(&mut self, now: Micros, datagram: &[u8]) -> Result<(), DatagramError> {
        let opened = self.outbox.hashes().open(datagram)?;
        let digest = opened.envelope.digest;
        match opened.kind {
            DatagramKind::Swim => self.handle_swim(now, digest, opened.content),
            DatagramKind::ScopeGossip => self.handle_scope_gossip(now, opened.content),
            DatagramKind::AntiEntropy => self.handle_anti_entropy(now, digest, opened.content),
        }
    }

    fn handle_swim(&mut self, now: Micros, digest: u32, packet: &[u8]) -> Result<(), DatagramError> {
        let source = foca_packet::read_source(packet)?;
        let mut output = self.swim.handle_packet(now, packet);
        let error = output.error.take();
        if error.is_none() {
            self.suspects.extend(source.suspects);
        }
        self.apply_swim_output(now, output);
        match error {
            None => {
                self.members.record_digest(now, source.sender, digest);
                Ok(())
            }
            // Valid: sent by a member that was declared dead, or by a former incarnation of this process.
            Some(foca::Error::DataFromOurselves | foca::Error::NotConnected) => Ok(()),
            Some(_) => Err(DatagramError::Content),
        }
    }

    fn handle_scope_gossip(&mut self, now: Micros, content: &[u8]) -> Result<(), DatagramError> {
        let message = ScopeGossipMessage::decode(content)?;
        let had_no_scopes = self.scopes().is_empty();
        let live_count = self.counts.local();
        let reply = self.scope_gossip.handle_message(now, &message, &self.members, live_count);
        self.classify_seed(&message);
        if let Some(reply) = reply {
            self.send(now, DatagramKind::ScopeGossip, &reply);
        }
        if now >= self.next_contact_at && !self.leaving {
            self.next_contact_at = now + CONTACT_INTERVAL_US;
            for address in self.scope_gossip.take_unknown_members(now, &self.members) {
                self.announce(now, Identity::unidentified(address));
            }
        }
        if had_no_scopes != self.scopes().is_empty() {
            self.check_members(now);
        }
        Ok(())
    }

    /// If a seed sent the message, records whether that seed belongs to another scope.
    fn classify_seed(&mut self, message: &ScopeGossipMessage) {
        if !self.config.seeds.contains(&message.from) {
            return;
        }
        if self.scope_gossip.is_remote(message) {
            self.remote_seeds.insert(message.from);
        } else {
            self.remote_seeds.remove(&message.from);
        }
    }

    fn handle_anti_entropy(&mut self, now: Micros, digest: u32, content: &[u8]) -> Result<(), DatagramError> {
        let message = AntiEntropyMessage::decode(content)?;
        let sender = message.sender();
        // A response is longer than its request, and an unknown sender can forge the address in `from`, so
        // answering unknown senders would allow amplification attacks.
        if self.leaving || !self.members.is_live(sender) {
            return Ok(());
        }
        self.members.record_digest(now, sender, digest);
        match message {
            AntiEntropyMessage::Request { start, digests, .. } => {
                let local = self.identity().address;
                for response in anti_entropy::responses(local, &self.members, start, &digests)? {
                    self.send_anti_entropy(now, sender, &response);
                }
            }
            AntiEntropyMessage::Response { next_start, members, .. } => {
                self.anti_entropy.response_received(next_start);
                let output = self.swim.add_members(now, members);
                self.apply_swim_output(now, output);
            }
        }
        Ok(())
    }

    fn send_anti_entropy(&mut self, now: Micros, to: SocketAddr, message: &AntiEntropyMessage) {
        if let Some(content) = message.encode() {
            self.send(now, DatagramKind::AntiEntropy, &OutgoingMessage { to, content });
        }
    }

    fn send(&mut self, now: Micros, kind: DatagramKind, message: &OutgoingMessage) {
        self.outbox.send(now, kind, self.members.digest(), message);
    }

    /// Requests the members by which the view of another member differs.
    fn request_differences(&mut self, now: Micros, member: SocketAddr) {
        let reported_member_count = self.scopes().reported_local_member_count(now);
        let local = self.identity().address;
        let request = self.anti_entropy.next_request(local, &self.members, reported_member_count);
        if let Some(request) = request {
            self.send_anti_entropy(now, member, &request);
        } else if let Some(record) = self.members.get(member) {
            self.announce(now, record.identity.clone());
        }
    }

    fn announce(&mut self, now: Micros, member: Identity) {
        let output = self.swim.announce(now, member);
        self.apply_swim_output(now, output);
    }

    /// Runs all timers and periodic tasks that are due.
    pub fn handle_time(&mut self, now: Micros) {
        while let Some(output) = self.swim.run_due_timer(now) {
            self.apply_swim_output(now, output);
        }
        if !self.leaving {
            self.poll_seeds(now);
            self.gossip_scopes(now);
            self.catch_up(now);
        }
        self.run_periodic_check(now);
    }

    fn poll_seeds(&mut self, now: Micros) {
        if now < self.next_seed_poll_at {
            return;
        }
        let alone = self.members.size() == 1;
        let interval = if alone { ALONE_SEED_POLL_INTERVAL_US } else { SEED_POLL_INTERVAL_US };
        self.next_seed_poll_at = now + interval;
        let may_poll_scopes = self.scope_gossip.may_poll_seeds(now, alone);
        for seed in self.config.seeds.clone() {
            if seed == self.identity().address || self.members.is_live(seed) {
                continue;
            }
            if !self.remote_seeds.contains(&seed) {
                self.announce(now, Identity::unidentified(seed));
            }
            if may_poll_scopes {
                self.poll_seed_scope(now, seed);
            }
        }
    }

    fn poll_seed_scope(&mut self, now: Micros, seed: SocketAddr) {
        let poll = self.scope_gossip.seed_poll(&self.members, self.counts.local());
        if let Some(content) = poll {
            self.send(now, DatagramKind::ScopeGossip, &OutgoingMessage { to: seed, content });
        }
    }

    fn gossip_scopes(&mut self, now: Micros) {
        let live_count = self.counts.local();
        for message in self.scope_gossip.take_due_round(now, &self.members, live_count) {
            self.send(now, DatagramKind::ScopeGossip, &message);
        }
    }

    fn catch_up(&mut self, now: Micros) {
        if !self.anti_entropy.take_due_request(now) {
            return;
        }
        if let Some(member) = self.members.differing_member(now) {
            self.request_differences(now, member);
        }
    }

    fn run_periodic_check(&mut self, now: Micros) {
        if now < self.last_check_at + CHECK_INTERVAL_US {
            return;
        }
        self.last_check_at = now;
        self.check_members(now);
        if self.leaving {
            return;
        }
        // Each update is piggybacked a limited number of times; a view that still differs is reconciled.
        if let Some(member) = self.members.settled_differing_member(now) {
            self.request_differences(now, member);
        }
    }

    /// Announces the departure of this process.
    pub fn leave(&mut self, now: Micros) {
        let output = self.swim.leave(now);
        self.leaving = true;
        self.apply_swim_output(now, output);
    }

    fn report(&mut self, event: MembershipEvent) {
        if self.events.len() < MAX_QUEUED_EVENTS || event.is_state() {
            self.events.push(event);
        }
    }

    /// Applies the changes that `foca` reports, and sends its messages.
    fn apply_swim_output(&mut self, now: Micros, output: SwimOutput) {
        let previous_digest = self.members.digest();
        let joined_count =
            output.changes.iter().filter(|change| matches!(change, MemberChange::Up(_))).count();
        self.anti_entropy.members_learned(now, joined_count);
        for change in output.changes {
            self.apply_change(now, change);
        }
        self.suspects.extend(output.suspects);
        if let Some(local) = self.swim.take_renewed_identity() {
            self.members.set_local(local);
        }
        for message in output.messages {
            self.outbox.send_swim(now, self.members.digest(), message, self.leaving);
        }
        self.swim.adapt_transmissions();
        if previous_digest != self.members.digest() {
            self.check_members(now);
        }
    }

    fn apply_change(&mut self, now: Micros, change: MemberChange) {
        match change {
            MemberChange::Up(member) => self.set_status(now, &member, MemberStatus::Alive),
            MemberChange::Down(member) => {
                let status = if member.leaving { MemberStatus::Left } else { MemberStatus::Dead };
                self.set_status(now, &member, status);
            }
            // `foca` reports a member that becomes live as up as well.
            MemberChange::Renamed(member) => {
                let known = self.members.get(member.address).map(|known| known.status);
                if let Some(status) = known.filter(|status| status.is_live()) {
                    self.set_status(now, &member, status);
                }
            }
            MemberChange::Rejoined => self.report(MembershipEvent::Rejoined),
        }
    }

    /// Sets the status of a member, records it in the live counts, and reports it.
    fn set_status(&mut self, now: Micros, member: &Identity, status: MemberStatus) {
        let previous = self.members.get(member.address).map(|known| known.status);
        if !self.members.set(now, member, status) {
            return;
        }
        match status {
            MemberStatus::Alive => {}
            MemberStatus::Suspected => self.counts.member_suspected(now),
            MemberStatus::Left => self.counts.member_left(),
            MemberStatus::Dead => {
                // The suspicion before the death was not observed by this process.
                if previous == Some(MemberStatus::Alive) {
                    self.counts.member_suspected(now);
                }
                self.counts.member_died(now);
            }
        }
        // The name of a member that was live before has already been checked.
        if status == MemberStatus::Alive && !previous.is_some_and(MemberStatus::is_live) {
            self.report_name_conflict(member);
        }
        self.report(MembershipEvent::MemberChanged { member: member.clone(), status });
    }

    fn report_name_conflict(&mut self, member: &Identity) {
        let local = self.identity();
        let local_conflict = (local.name == member.name).then_some(local.address);
        let conflict = self.members.name_conflict(member).or(local_conflict);
        if let Some(known) = conflict {
            let name = member.name.clone();
            self.report(MembershipEvent::NameConflict { name, known, joined: member.address });
        }
    }

    /// Applies suspicions, removes expired entries, and updates the live counts.
    fn check_members(&mut self, now: Micros) {
        self.check_suspects(now);
        self.members.expire(now);
        self.update_live_counts(now);
    }

    fn check_suspects(&mut self, now: Micros) {
        if self.suspects.is_empty() {
            return;
        }
        let suspects = std::mem::take(&mut self.suspects);
        for member in self.swim.members_at(&suspects) {
            match member.state() {
                State::Alive => self.set_status(now, member.id(), MemberStatus::Alive),
                State::Suspect => {
                    self.suspects.insert(member.id().address);
                    self.set_status(now, member.id(), MemberStatus::Suspected);
                }
                State::Down => {}
            }
        }
    }

    fn update_live_counts(&mut self, now: Micros) {
        let previous_count = self.counts.fleet().get();
        let views_agree = self.members.agreement_ratio(now) >= MIN_AGREEMENT_RATIO;
        self.counts.update_local(now, &self.members, views_agree);
        for change in self.scope_gossip.scopes.update(now, previous_count) {
            self.report(MembershipEvent::ScopeChanged { scope: change.scope, status: change.status });
        }
        let alone = self.is_alone();
        let scopes = &self.scope_gossip.scopes;
        self.counts.update_fleet(now, &self.members, scopes, alone, views_agree);
        self.report_partition();
        let count = self.counts.fleet().get();
        if count != previous_count {
            self.report(MembershipEvent::LiveCountChanged { count });
        }
    }

    fn report_partition(&mut self) {
        let suspected = self.suspects_partition();
        if self.partition_reported != suspected {
            self.partition_reported = suspected;
            self.report(MembershipEvent::PartitionSuspected { suspected });
        }
    }
}
