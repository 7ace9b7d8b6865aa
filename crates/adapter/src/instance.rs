//! A balancer instance: converts inputs into events, and actions into commands.

use crate::call_names::CallNames;
use crate::error::AdapterError;
use crate::wire::{self, Command, Input, Reply, WireEndpoint};
use oakport_core::settings_wire::ParsedSettings;
use oakport_core::{
    Action, Balancer, CallId, ClassId, EndpointId, EndpointInfo, Event, ListUpdateKind, TenantId,
};
use std::collections::HashMap;

/// A balancer, with the names of its calls, classes and tenants on the wire.
pub struct Instance {
    proxy: i64,
    balancer: Balancer,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    calls: CallNames,
    /// Buffer for the actions that result from an event.
    actions: Vec<Action>,
}

impl Instance {
    /// Creates an instance; `proxy` is its number on the wire.
    pub fn new(proxy: i64, seed: u64, settings: ParsedSettings) -> Self {
        Instance {
            proxy,
            balancer: Balancer::new(seed, settings.settings),
            class_names: settings.class_names,
            tenant_names: settings.tenant_names,
            calls: CallNames::default(),
            actions: Vec::new(),
        }
    }

    /// Passes an event to the balancer and appends the resulting commands to the reply.
    pub fn handle(&mut self, now_us: u64, event: Event, reply: &mut Reply) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now_us, event, &mut actions);
        for action in actions.drain(..) {
            reply.commands.extend(self.command(action));
        }
        self.actions = actions;
    }

    /// MEMBERS: discovery has sent an endpoint list or has failed.
    pub fn endpoint_list(
        &mut self,
        now_us: u64,
        input: &Input,
        lists: &HashMap<i64, Vec<WireEndpoint>>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let kind = wire::list_update_kind(input.require(input.list_kind, "scope")?)?;
        let endpoints: Vec<EndpointInfo> = if kind == ListUpdateKind::Failed {
            Vec::new()
        } else {
            let list_id = input.require(input.list_id, "roster_id")?;
            let list = lists.get(&list_id).ok_or(AdapterError::UnknownList(list_id))?;
            list.iter().map(WireEndpoint::to_info).collect::<Result<_, _>>()?
        };
        self.handle(now_us, Event::EndpointList { kind, endpoints }, reply);
        Ok(())
    }

    /// PROBED: a load poll has ended.
    pub fn load_polled(&mut self, now_us: u64, input: &Input, reply: &mut Reply) -> Result<(), AdapterError> {
        let event = Event::LoadPolled {
            endpoint: EndpointId(input.require(input.endpoint, "host")?),
            outcome: wire::outcome(input.require(input.outcome.as_deref(), "result")?),
            elapsed: input.elapsed_us.unwrap_or(0),
            load: input.load_report(),
        };
        self.handle(now_us, event, reply);
        Ok(())
    }

    /// JOB_IN: a client has sent a request.
    pub fn request(&mut self, now_us: u64, input: &Input, reply: &mut Reply) -> Result<(), AdapterError> {
        let call = self.calls.id_or_insert(input.require(input.call.as_deref(), "call")?);
        let class = position(&self.class_names, input.require(input.class.as_deref(), "tier_class")?);
        let tenant = input.tenant.as_deref().and_then(|tenant| position(&self.tenant_names, tenant));
        let event = Event::Request {
            call,
            class: ClassId(class.unwrap_or(usize::MAX)),
            tenant: tenant.map(TenantId),
            remaining_time: input.require(input.remaining_time_us, "time_budget_us")?,
            is_retry: input.is_retry,
        };
        self.handle_call_event(now_us, call, event, reply);
        Ok(())
    }

    /// DONE: an attempt has ended.
    pub fn attempt_ended(
        &mut self,
        now_us: u64,
        input: &Input,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let Some(call) = self.known_call(input)? else { return Ok(()) };
        let outcome = wire::outcome(input.require(input.outcome.as_deref(), "result")?);
        let event = Event::AttemptEnded {
            call,
            attempt: input.require(input.attempt, "seq_no")?,
            outcome,
            elapsed: input.elapsed_us.unwrap_or(0),
            call_closed: input.call_closed,
            load: input.load_report(),
        };
        self.calls.attempt_ended(call);
        if input.call_closed {
            self.calls.call_ended(call);
        }
        self.handle_call_event(now_us, call, event, reply);
        Ok(())
    }

    /// UNDER_WAY: the first bytes of a response have arrived.
    pub fn response_started(
        &mut self,
        now_us: u64,
        input: &Input,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let Some(call) = self.known_call(input)? else { return Ok(()) };
        let attempt = input.require(input.attempt, "seq_no")?;
        self.handle_call_event(now_us, call, Event::ResponseStarted { call, attempt }, reply);
        Ok(())
    }

    /// CANCELLED_BY_CLIENT: the client has disconnected.
    pub fn client_disconnected(
        &mut self,
        now_us: u64,
        input: &Input,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let Some(call) = self.known_call(input)? else { return Ok(()) };
        self.calls.call_ended(call);
        self.handle_call_event(now_us, call, Event::ClientDisconnected { call }, reply);
        Ok(())
    }

    /// The call that an input names; `None` if the call is unknown or has been removed.
    fn known_call(&self, input: &Input) -> Result<Option<CallId>, AdapterError> {
        let name = input.require(input.call.as_deref(), "call")?;
        Ok(self.calls.id(name))
    }

    fn handle_call_event(&mut self, now_us: u64, call: CallId, event: Event, reply: &mut Reply) {
        self.handle(now_us, event, reply);
        self.calls.remove_if_finished(call);
    }

    /// The command for an action; `None` if its call has been removed.
    fn command(&mut self, action: Action) -> Option<Command> {
        let proxy = self.proxy;
        Some(match action {
            Action::Send { call, endpoint, timeout_at, .. } => {
                let call = self.calls.attempt_sent(call)?;
                Command::Send { proxy, call, endpoint: endpoint.0, timeout_at_us: timeout_at }
            }
            Action::Reject { call, retry_after } => {
                let call = self.end_call(call)?;
                Command::Reject { proxy, call, retry_after_us: retry_after }
            }
            Action::Fail { call } => Command::Fail { proxy, call: self.end_call(call)? },
            Action::Cancel { call, attempt } => {
                Command::Cancel { proxy, call: self.calls.name(call)?, attempt }
            }
            Action::PollLoad { endpoint } => Command::PollLoad { proxy, endpoint: endpoint.0 },
            Action::SetTimer { after } => Command::SetTimer { proxy, after_us: after, tag: 0 },
            Action::PollEndpointList => Command::PollEndpointList { proxy, enable: true },
            Action::Log(decision) => Command::Log { proxy, text: wire::log_text(decision) },
        })
    }

    /// Marks a call as ended by the balancer and returns the call's name.
    fn end_call(&mut self, call: CallId) -> Option<String> {
        let name = self.calls.name(call)?;
        self.calls.call_ended(call);
        self.calls.remove_if_finished(call);
        Some(name)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
