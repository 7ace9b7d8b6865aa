//! Maps the call names of the wire to the call ids of a balancer.

use oakport_core::CallId;
use std::collections::HashMap;

struct NamedCall {
    name: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// The known calls of one instance, by name and by id.
#[derive(Default)]
pub struct CallNames {
    ids: HashMap<String, CallId>,
    calls: HashMap<CallId, NamedCall>,
    next_id: u64,
}

impl CallNames {
    /// The id of a known call.
    pub fn id(&self, name: &str) -> Option<CallId> {
        self.ids.get(name).copied()
    }

    /// The id of a call; assigns a new one if the call is unknown.
    pub fn id_or_insert(&mut self, name: &str) -> CallId {
        if let Some(id) = self.id(name) {
            return id;
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        let call = NamedCall { name: name.to_owned(), attempts_in_flight: 0, ended: false };
        self.calls.insert(id, call);
        id
    }

    /// The name of a known call.
    pub fn name(&self, id: CallId) -> Option<String> {
        self.calls.get(&id).map(|call| call.name.clone())
    }

    /// Counts an attempt that is sent and returns the call's name; `None` if the call is unknown.
    pub fn attempt_sent(&mut self, id: CallId) -> Option<String> {
        let call = self.calls.get_mut(&id)?;
        call.attempts_in_flight += 1;
        Some(call.name.clone())
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts_in_flight = call.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Marks a call as ended; its name stays known while an attempt is in flight.
    pub fn call_ended(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.ended = true;
        }
    }

    /// Removes a call if it has ended and none of its attempts is in flight.
    pub fn remove_if_finished(&mut self, id: CallId) {
        if !self.calls.get(&id).is_some_and(|call| call.ended && call.attempts_in_flight == 0) {
            return;
        }
        if let Some(call) = self.calls.remove(&id) {
            self.ids.remove(&call.name);
        }
    }
}
