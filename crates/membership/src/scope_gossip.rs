//! Scope gossip: summaries of scopes spread among the members of one scope, and between scopes by a few of them at
//! a time.

use crate::envelope::DatagramError;
use crate::identity::MAX_TEXT_BYTES;
use crate::member_table::{MemberStatus, MemberTable};
use crate::outbox::OutgoingMessage;
use crate::scope_summary::ScopeSummary;
use crate::scope_table::ScopeTable;
use crate::Micros;
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Interval at which a member sends its summaries to another of its scope: about ten rounds reach all members, and a
/// scope is silent after five seconds.
const GOSSIP_INTERVAL_US: Micros = 200_000;
/// Polls of each other scope, by all members of a scope together.
const SCOPE_POLLS_PER_SECOND: f64 = 2.0;
/// Room for summaries in a message within the scope.
const LOCAL_SUMMARIES_BYTES: usize = 700;
/// Room for summaries in a message between scopes.
const REMOTE_SUMMARIES_BYTES: usize = 1_000;
/// What a summary takes beside its name and contacts, at the most.
const SUMMARY_HEAD_BYTES: usize = 24;
/// What a contact takes at the most.
const IPV4_CONTACT_BYTES: usize = 10;
const IPV6_CONTACT_BYTES: usize = 22;
/// Bound on the replies.
const REPLY_BYTES_PER_SECOND: f64 = 6_000.0;
/// Contacts of its own scope that a reply names to the member that polls.
const MAX_REPLY_CONTACTS: usize = 12;
/// Contacts in each other summary.
const MAX_SUMMARY_CONTACTS: usize = 1;
/// Contacts of the sender's scope in its own summary between scopes.
const MAX_LOCAL_CONTACTS: usize = 2;
/// Unknown members of the own scope that are contacted at a time.
const MAX_NEW_CONTACTS: usize = 2;
/// The first pause between the polls of the seeds by a member that is alone; it doubles up to the longest one.
const MIN_SEED_PAUSE_US: Micros = 500_000;
const MAX_SEED_PAUSE_US: Micros = 4_000_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Random numbers of 53 bits are compared with a probability, as a float holds no more.
const RANDOM_53_BITS: f64 = (1_u64 << 53) as f64;

/// What members of scopes send each other. The order of the fields is the order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ScopeGossipMessage {
    pub(crate) from: SocketAddr,
    scope: String,
    wants_reply: bool,
    summaries: Vec<ScopeSummary>,
}

impl ScopeGossipMessage {
    /// Decodes a valid message.
    ///
    /// # Errors
    /// [`DatagramError::Content`] if it cannot be decoded, is longer than its content or holds an invalid summary.
    pub(crate) fn decode(content: &[u8]) -> Result<ScopeGossipMessage, DatagramError> {
        let (message, rest) = postcard::take_from_bytes::<ScopeGossipMessage>(content)?;
        let valid = rest.is_empty()
            && message.scope.len() <= MAX_TEXT_BYTES
            && message.summaries.iter().all(ScopeSummary::is_valid);
        valid.then_some(message).ok_or(DatagramError::Content)
    }
}

/// A token bucket for the bytes of replies.
#[derive(Clone, Copy, Debug)]
struct ReplyBudget {
    available_bytes: f64,
    refilled_at: Micros,
}

impl ReplyBudget {
    fn refill(&mut self, now: Micros) {
        let elapsed_us = now.saturating_sub(self.refilled_at);
        let refilled = self.available_bytes + elapsed_us as f64 / MICROS_PER_SECOND * REPLY_BYTES_PER_SECOND;
        self.available_bytes = refilled.min(REPLY_BYTES_PER_SECOND);
        self.refilled_at = now;
    }
}

/// When a member that is alone polls its seeds.
#[derive(Clone, Copy, Debug)]
struct SeedBackoff {
    next_poll_at: Micros,
    pause: Micros,
}

/// The part that one member takes in scope gossip.
pub(crate) struct ScopeGossip {
    /// The name of the local scope.
    pub(crate) scope: String,
    pub(crate) scopes: ScopeTable,
    address: SocketAddr,
    random: Pcg64,
    next_round_at: Micros,
    /// Counts the rounds, so that each scope comes first in its turn.
    round: usize,
    reply_budget: ReplyBudget,
    seed_backoff: SeedBackoff,
}

impl ScopeGossip {
    /// Starts without knowing other scopes; the first round is at a random instant.
    pub(crate) fn new(now: Micros, seed: u64, scope: &str, address: SocketAddr) -> Self {
        // Other random numbers than those of SWIM, which has the same seed.
        let mut random = Pcg64::seed_from_u64(seed ^ 0x5c0_9e5);
        let next_round_at = now + random.next_u64() % GOSSIP_INTERVAL_US;
        ScopeGossip {
            scope: scope.to_owned(),
            scopes: ScopeTable::default(),
            address,
            random,
            next_round_at,
            round: 0,
            reply_budget: ReplyBudget { available_bytes: REPLY_BYTES_PER_SECOND, refilled_at: now },
            seed_backoff: SeedBackoff { next_poll_at: now, pause: MIN_SEED_PAUSE_US },
        }
    }

    /// When the next round is due; never as long as no other scope is known.
    pub(crate) fn next_deadline(&self) -> Micros {
        if self.scopes.is_empty() {
            return Micros::MAX;
        }
        self.next_round_at
    }

    /// Whether a message comes from another scope.
    pub(crate) fn is_remote(&self, message: &ScopeGossipMessage) -> bool {
        message.scope != self.scope
    }

    /// The summary of the local scope as this process sees it.
    fn local_summary(&self, members: &MemberTable, live_count: usize) -> ScopeSummary {
        ScopeSummary {
            scope: self.scope.clone(),
            live_count: live_count as u32,
            member_count: members.size() as u32,
            unsuspected_count: members.unsuspected_count() as u32,
            digest: members.digest(),
            age_ms: 0,
            contacts: Vec::new(),
        }
    }

    /// Encodes a message with the first summaries that fit; `None` if that fails, then the next round repeats it.
    fn encode(
        &self,
        wants_reply: bool,
        candidates: impl Iterator<Item = ScopeSummary>,
        max_bytes: usize,
    ) -> Option<Vec<u8>> {
        let mut available_bytes = max_bytes;
        let mut summaries = Vec::new();
        for summary in candidates {
            let summary_bytes = max_encoded_bytes(&summary);
            if summary_bytes > available_bytes {
                break;
            }
            available_bytes -= summary_bytes;
            summaries.push(summary);
        }
        let message =
            ScopeGossipMessage { from: self.address, scope: self.scope.clone(), wants_reply, summaries };
        postcard::to_allocvec(&message).ok()
    }

    /// The messages of a round, if one is due: to a member of the local scope, and sometimes to one of another.
    pub(crate) fn take_due_round(
        &mut self,
        now: Micros,
        members: &MemberTable,
        live_count: usize,
    ) -> Vec<OutgoingMessage> {
        if now < self.next_deadline() {
            return Vec::new();
        }
        self.next_round_at = now + GOSSIP_INTERVAL_US;
        self.round = self.round.wrapping_add(1);
        let local_summary = self.local_summary(members, live_count);
        let to_local = self.local_round(now, members, local_summary.clone());
        let to_remote = self.remote_round(now, members, local_summary);
        to_local.into_iter().chain(to_remote).collect()
    }

    fn local_round(
        &mut self,
        now: Micros,
        members: &MemberTable,
        local_summary: ScopeSummary,
    ) -> Option<OutgoingMessage> {
        let to = members.random_member(self.random.next_u64())?;
        let remote_summaries = self.scopes.summaries(now, self.round, MAX_SUMMARY_CONTACTS);
        let summaries = std::iter::once(local_summary).chain(remote_summaries);
        let content = self.encode(false, summaries, LOCAL_SUMMARIES_BYTES)?;
        Some(OutgoingMessage { to, content })
    }

    /// Polls a random scope with a probability such that each is polled as often, whatever the size of the local
    /// one.
    fn remote_round(
        &mut self,
        now: Micros,
        members: &MemberTable,
        local_summary: ScopeSummary,
    ) -> Option<OutgoingMessage> {
        let scopes = self.scopes.len();
        let polls = SCOPE_POLLS_PER_SECOND * scopes as f64 * GOSSIP_INTERVAL_US as f64 / MICROS_PER_SECOND;
        let probability = polls / members.size() as f64;
        let random_53_bits = (self.random.next_u64() >> 11) as f64;
        if random_53_bits >= probability * RANDOM_53_BITS {
            return None;
        }
        let random_scope = self.random.next_u64();
        let random_contact = self.random.next_u64();
        let index = (random_scope % scopes as u64) as usize;
        let (_, scope) = self.scopes.iter().nth(index)?;
        let to = scope.random_contact(random_contact)?;
        let content = self.remote_message(now, members, local_summary, None)?;
        Some(OutgoingMessage { to, content })
    }

    /// A message to a member of another scope: a poll, or the reply to a member of the scope `reply_to`.
    fn remote_message(
        &mut self,
        now: Micros,
        members: &MemberTable,
        mut local_summary: ScopeSummary,
        reply_to: Option<&str>,
    ) -> Option<Vec<u8>> {
        for _ in 0..MAX_LOCAL_CONTACTS {
            local_summary.contacts.extend(members.random_member(self.random.next_u64()));
        }
        let poller_scope = reply_to
            .map(|scope| self.scopes.summaries_of(now, &self.scope, scope, MAX_REPLY_CONTACTS))
            .unwrap_or_default();
        let others = self.scopes.summaries(now, self.round, MAX_SUMMARY_CONTACTS);
        let others = others.filter(|summary| reply_to != Some(summary.scope.as_str()));
        let summaries = std::iter::once(local_summary).chain(poller_scope).chain(others);
        self.encode(reply_to.is_none(), summaries, REMOTE_SUMMARIES_BYTES)
    }

    /// Whether the seeds may be polled now. A member that is alone backs off, with jitter, so that those that
    /// started together do not stay in step.
    pub(crate) fn may_poll_seeds(&mut self, now: Micros, alone: bool) -> bool {
        if !alone {
            self.seed_backoff.pause = MIN_SEED_PAUSE_US;
            return true;
        }
        let SeedBackoff { next_poll_at, pause } = self.seed_backoff;
        if now < next_poll_at {
            return false;
        }
        let jitter = self.random.next_u64() % pause;
        self.seed_backoff =
            SeedBackoff { next_poll_at: now + pause / 2 + jitter, pause: (2 * pause).min(MAX_SEED_PAUSE_US) };
        true
    }

    /// The message by which a seed is polled.
    pub(crate) fn seed_poll(&self, members: &MemberTable, live_count: usize) -> Option<Vec<u8>> {
        let local_summary = self.local_summary(members, live_count);
        self.encode(true, std::iter::once(local_summary), REMOTE_SUMMARIES_BYTES)
    }

    /// Takes in a message, and returns the reply if one is wanted.
    pub(crate) fn handle_message(
        &mut self,
        now: Micros,
        message: &ScopeGossipMessage,
        members: &MemberTable,
        live_count: usize,
    ) -> Option<OutgoingMessage> {
        if message.from == self.address {
            return None;
        }
        if let Some(scope) = self.scopes.entry(now, &self.scope, &message.scope) {
            scope.add_contact(message.from);
        }
        for summary in &message.summaries {
            self.scopes.apply(now, &self.scope, summary);
        }
        self.reply_budget.refill(now);
        // A fleet of one scope needs no reply; a poll beyond the budget is repeated.
        if !message.wants_reply || self.reply_budget.available_bytes <= 0.0 || self.scopes.is_empty() {
            return None;
        }
        let local_summary = self.local_summary(members, live_count);
        let content = self.remote_message(now, members, local_summary, Some(&message.scope))?;
        self.reply_budget.available_bytes -= content.len() as f64;
        Some(OutgoingMessage { to: message.from, content })
    }

    /// Takes some members of the local scope that others reported and the view does not know. Departed ones are
    /// taken only if this process knows fewer members than the others report.
    pub(crate) fn take_unknown_members(&mut self, now: Micros, members: &MemberTable) -> Vec<SocketAddr> {
        let reported_members = self.scopes.reported_local_member_count(now);
        let knows_fewer = members.size() == 1 || members.size() < reported_members;
        let local = self.address;
        let is_unknown = |address: SocketAddr| match members.get(address).map(|known| known.status) {
            None => address != local,
            Some(MemberStatus::Left | MemberStatus::Dead) => knows_fewer,
            Some(MemberStatus::Alive | MemberStatus::Suspected) => false,
        };
        let reported = self.scopes.reported_local();
        reported.map(|scope| scope.take_contacts(is_unknown, MAX_NEW_CONTACTS)).unwrap_or_default()
    }
}

/// Bytes that a summary takes at the most.
fn max_encoded_bytes(summary: &ScopeSummary) -> usize {
    let contact_bytes = |contact: &SocketAddr| match contact {
        SocketAddr::V4(_) => IPV4_CONTACT_BYTES,
        SocketAddr::V6(_) => IPV6_CONTACT_BYTES,
    };
    SUMMARY_HEAD_BYTES + summary.scope.len() + summary.contacts.iter().map(contact_bytes).sum::<usize>()
}
