//! Settings of the simulated client proxies.

use super::MAX_ATTEMPTS;
use crate::scenario::{IdempotencySpec, Scenario};
use oakport_core::{Class, Idempotency, Limits, Rules, Settings, ZoneId};

/// Settings of a client proxy in this zone.
pub fn settings(scenario: &Scenario, zone: usize) -> Settings {
    let classes = scenario.classes.iter().map(|c| Class {
        latency_objective: c.latency_objective,
        client_timeout: c.client_timeout,
        priority_weight: c.priority_weight,
        late_weight_ratio: 0.0,
        idempotency: if c.idempotency == IdempotencySpec::Idempotent {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        active: true,
    });
    let base = Settings::default();
    let goal = &scenario.goal;
    let server = &scenario.server;
    Settings {
        proxy_count: scenario.balancers as u32,
        zone: ZoneId(zone as u32),
        classes: classes.collect(),
        limits: Limits {
            cancellation: true,
            load_polling: false,
            hedging: true,
            max_attempts: MAX_ATTEMPTS,
            max_retry_after: scenario.clients.max_retry_after,
            max_streams: 1,
        },
        rules: Rules {
            warm_up_initial_ratio: server.initial_capacity_ratio,
            warm_up_duration: server.warm_up_duration,
            warm_up_overload_factor: server.cold_overload_factor,
            warm_up_overload_window: server.cold_overload_window,
            drain_grace: scenario.discovery.drain_grace,
            max_poll_interval: base.rules.max_poll_interval,
        },
        objective_weights: oakport_core::ObjectiveWeights {
            overall: goal.overall,
            worst_class: goal.worst_class,
            worst_tenant: 0.0,
            worst_window: goal.worst_window,
        },
        charges: oakport_core::Charges {
            cross_zone: goal.cross_zone,
            load_poll: 0.0,
            handshake: goal.handshake,
            wasted_work: goal.wasted_work,
            late_failure: goal.late_failure,
        },
        ..base
    }
}
