//! Scope gossip: disseminates the summaries of scopes among the members of one scope and, by a few members
//! per round, between scopes.

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

/// Interval at which a member sends its summaries to another member of its scope: about ten rounds reach all
/// members, and a scope is considered silent only after five seconds.
const GOSSIP_INTERVAL_US: Micros = 200_000;
/// Polls of each other scope per second, by all members of the local scope together.
const SCOPE_POLLS_PER_SECOND: f64 = 2.0;
/// Maximum size of the summaries in a message within the scope.
const MAX_LOCAL_SUMMARIES_BYTES: usize = 700;
/// Maximum size of the summaries in a message between scopes.
const MAX_REMOTE_SUMMARIES_BYTES: usize = 1_000;
/// Upper bound of the encoded size of a summary without its name and contacts.
const SUMMARY_OVERHEAD_BYTES: usize = 24;
/// Upper bound of the encoded size of a contact.
const MAX_IPV4_CONTACT_BYTES: usize = 10;
const MAX_IPV6_CONTACT_BYTES: usize = 22;
/// Rate limit of replies; up to one second of it may be sent in a burst.
const REPLY_BYTES_PER_SECOND: f64 = 6_000.0;
/// Maximum number of contacts in a reply that belong to the scope of the polling member.
const MAX_POLLER_SCOPE_CONTACTS: usize = 12;
/// Maximum number of contacts in each other summary.
const MAX_SUMMARY_CONTACTS: usize = 1;
/// Maximum number of contacts of the local scope in its own summary sent to other scopes.
const MAX_LOCAL_CONTACTS: usize = 2;
/// Maximum number of unknown members of the local scope that are contacted at once.
const MAX_NEW_CONTACTS: usize = 2;
/// Initial backoff between seed polls by a member that is alone; it doubles up to the maximum.
const MIN_SEED_BACKOFF_US: Micros = 500_000;
const MAX_SEED_BACKOFF_US: Micros = 4_000_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Scale of the 53-bit random numbers that are compared with a probability: an `f64` holds no more bits.
const RANDOM_53_BITS: f64 = (1_u64 << 53) as f64;

/// A scope gossip message. The order of the fields defines the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ScopeGossipMessage {
    pub(crate) from: SocketAddr,
    scope: String,
    wants_reply: bool,
    summaries: Vec<ScopeSummary>,
}

impl ScopeGossipMessage {
    /// Decodes and validates a message.
    ///
    /// # Errors
    /// [`DatagramError::Content`] if the message cannot be decoded, is followed by further bytes, or contains
    /// a scope name that is too long or an invalid summary.
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

/// The backoff state of a member that is alone and polls its seeds.
#[derive(Clone, Copy, Debug)]
struct SeedBackoff {
    next_poll_at: Micros,
    delay: Micros,
}

/// The scope gossip state of one member.
pub(crate) struct ScopeGossip {
    /// The name of the local scope.
    pub(crate) scope: String,
    pub(crate) scopes: ScopeTable,
    address: SocketAddr,
    random: Pcg64,
    next_round_at: Micros,
    /// Number of rounds, which rotates the order of the scopes in messages.
    round: usize,
    reply_budget: ReplyBudget,
    seed_backoff: SeedBackoff,
}

impl ScopeGossip {
    /// Starts without other scopes; the first round is due at a random time within the gossip interval.
    pub(crate) fn new(now: Micros, seed: u64, scope: &str, address: SocketAddr) -> Self {
        // SWIM uses the same seed; the XOR makes the random numbers differ.
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
            seed_backoff: SeedBackoff { next_poll_at: now, delay: MIN_SEED_BACKOFF_US },
        }
    }

    /// The time of the next round; [`Micros::MAX`] while no other scope is known.
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

    /// Encodes a message with the first candidates that fit into `max_bytes`; `None` if encoding fails, in
    /// which case the next round retries.
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

    /// The messages of a round, if one is due: one to a member of the local scope, and sometimes one to a
    /// member of another scope.
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
        let content = self.encode(false, summaries, MAX_LOCAL_SUMMARIES_BYTES)?;
        Some(OutgoingMessage { to, content })
    }

    /// Polls a random scope, with a probability that makes the poll rate of each scope independent of the
    /// size of the local scope.
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

    /// A message to a member of another scope: the reply to a member of the scope `reply_to`, or a poll if
    /// that is `None`.
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
            .map(|scope| self.scopes.summaries_of(now, &self.scope, scope, MAX_POLLER_SCOPE_CONTACTS))
            .unwrap_or_default();
        let others = self.scopes.summaries(now, self.round, MAX_SUMMARY_CONTACTS);
        let others = others.filter(|summary| reply_to != Some(summary.scope.as_str()));
        let summaries = std::iter::once(local_summary).chain(poller_scope).chain(others);
        self.encode(reply_to.is_none(), summaries, MAX_REMOTE_SUMMARIES_BYTES)
    }

    /// Whether the seeds may be polled now. A member that is alone backs off with jitter, so that members
    /// that started together do not remain synchronized.
    pub(crate) fn may_poll_seeds(&mut self, now: Micros, alone: bool) -> bool {
        if !alone {
            self.seed_backoff.delay = MIN_SEED_BACKOFF_US;
            return true;
        }
        let SeedBackoff { next_poll_at, delay } = self.seed_backoff;
        if now < next_poll_at {
            return false;
        }
        let jitter = self.random.next_u64() % delay;
        self.seed_backoff = SeedBackoff {
            next_poll_at: now + delay / 2 + jitter,
            delay: (2 * delay).min(MAX_SEED_BACKOFF_US),
        };
        true
    }

    /// The message that polls a seed.
    pub(crate) fn seed_poll(&self, members: &MemberTable, live_count: usize) -> Option<Vec<u8>> {
        let local_summary = self.local_summary(members, live_count);
        self.encode(true, std::iter::once(local_summary), MAX_REMOTE_SUMMARIES_BYTES)
    }

    /// Applies a message, and returns the reply if the message requests one.
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
        // A fleet of one scope needs no reply; a poll that exceeds the reply budget is repeated later.
        if !message.wants_reply || self.reply_budget.available_bytes <= 0.0 || self.scopes.is_empty() {
            return None;
        }
        let local_summary = self.local_summary(members, live_count);
        let content = self.remote_message(now, members, local_summary, Some(&message.scope))?;
        self.reply_budget.available_bytes -= content.len() as f64;
        Some(OutgoingMessage { to: message.from, content })
    }

    /// Removes and returns some contacts of the local scope that others reported and the member table lacks.
    /// Departed members are included only if this process knows no other member or fewer than reported.
    pub(crate) fn take_unknown_members(&mut self, now: Micros, members: &MemberTable) -> Vec<SocketAddr> {
        let reported_member_count = self.scopes.reported_local_member_count(now);
        let knows_fewer = members.size() == 1 || members.size() < reported_member_count;
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

/// Upper bound of the encoded size of a summary.
fn max_encoded_bytes(summary: &ScopeSummary) -> usize {
    let contact_bytes = |contact: &SocketAddr| match contact {
        SocketAddr::V4(_) => MAX_IPV4_CONTACT_BYTES,
        SocketAddr::V6(_) => MAX_IPV6_CONTACT_BYTES,
    };
    SUMMARY_OVERHEAD_BYTES + summary.scope.len() + summary.contacts.iter().map(contact_bytes).sum::<usize>()
}
