//! Dispatches inputs to the balancer instances of the process, which share endpoint lists.

use crate::error::AdapterError;
use crate::instance::Instance;
use crate::wire::{Batch, Input, Reply, WireEndpoint};
use oakport_core::{settings_wire, Event};
use std::collections::HashMap;

/// All balancer instances by number, and all endpoint lists by id.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<i64, Instance>,
    endpoint_lists: HashMap<i64, Vec<WireEndpoint>>,
}

impl Adapter {
    /// Handles a batch and returns the reply, each as one line of JSON.
    ///
    /// # Errors
    /// If the line or one of its inputs is invalid; the inputs before that one have been handled.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::InvalidBatch)?;
        let mut reply = Reply { commands: Vec::with_capacity(batch.input.len()) };
        for input in batch.input {
            self.handle_input(batch.clock_us, input, &mut reply)?;
        }
        serde_json::to_string(&reply).map_err(AdapterError::InvalidReply)
    }

    fn handle_input(&mut self, now_us: u64, input: Input, reply: &mut Reply) -> Result<(), AdapterError> {
        match input.verb.as_ref() {
            "POOL" => self.set_endpoint_list(input),
            "CREATE" => self.create_instance(now_us, input, reply),
            "DETACH" => self.remove_instance(&input),
            _ => self.handle_event(now_us, input, reply),
        }
    }

    /// POOL: stores an endpoint list under an id to which MEMBERS inputs refer.
    fn set_endpoint_list(&mut self, input: Input) -> Result<(), AdapterError> {
        let list_id = input.require(input.list_id, "roster_id")?;
        self.endpoint_lists.insert(list_id, input.endpoints.unwrap_or_default());
        Ok(())
    }

    /// CREATE: creates an instance with its settings; replaces an instance of the same number.
    fn create_instance(&mut self, now_us: u64, input: Input, reply: &mut Reply) -> Result<(), AdapterError> {
        let proxy = input.require(input.proxy, "proxy")?;
        let settings = input.require(input.settings.as_ref(), "facts")?;
        let seed = input.require(input.seed, "seed")?;
        let settings = settings_wire::parse(settings)?;
        let mut instance = Instance::new(proxy, seed, settings);
        instance.handle(now_us, Event::Start, reply);
        self.instances.insert(proxy, instance);
        Ok(())
    }

    /// DETACH: removes an instance.
    fn remove_instance(&mut self, input: &Input) -> Result<(), AdapterError> {
        let proxy = input.require(input.proxy, "proxy")?;
        self.instances.remove(&proxy);
        Ok(())
    }

    /// All other verbs: handles an event of one instance.
    fn handle_event(&mut self, now_us: u64, input: Input, reply: &mut Reply) -> Result<(), AdapterError> {
        let proxy = input.require(input.proxy, "proxy")?;
        let Some(instance) = self.instances.get_mut(&proxy) else {
            return Err(AdapterError::UnknownProxy { verb: input.verb.into_owned(), proxy });
        };
        match input.verb.as_ref() {
            "MEMBERS" => instance.endpoint_list(now_us, &input, &self.endpoint_lists, reply),
            "ALARM" => {
                instance.handle(now_us, Event::Timer, reply);
                Ok(())
            }
            "PROBED" => instance.load_polled(now_us, &input, reply),
            "WHISPER" => Ok(()),
            "JOB_IN" => instance.request(now_us, &input, reply),
            "DONE" => instance.attempt_ended(now_us, &input, reply),
            "UNDER_WAY" => instance.response_started(now_us, &input, reply),
            "CANCELLED_BY_CLIENT" => instance.client_disconnected(now_us, &input, reply),
            unknown => Err(AdapterError::UnknownVerb(unknown.to_owned())),
        }
    }
}
