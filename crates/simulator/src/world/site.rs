//! What a client proxy is told of the site.

use super::ATTEMPTS;
use crate::scenario::{Again, Scenario};
use oakport_core::{Class, Limits, Repeat, Rules, Settings, ZoneId};

/// What a proxy in this zone is told of the site.
pub fn settings(scenario: &Scenario, zone: usize) -> Settings {
    let classes = scenario.classes.iter().map(|c| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_value: 0.0,
        repeat: if c.idempotency == Again::Free { Repeat::Free } else { Repeat::SingleShot },
        live: true,
    });
    let (base, goal, server) = (Settings::default(), &scenario.goal, &scenario.server);
    Settings {
        balancers: scenario.balancers as u32,
        zone: ZoneId(zone as u32),
        classes: classes.collect(),
        limits: Limits {
            cancel: true,
            probes: false,
            second_copies: true,
            max_attempts: ATTEMPTS,
            max_retry_after: scenario.clients.retry_after_most,
            max_streams: 1,
        },
        rules: Rules {
            cold_share: server.cold_share,
            cold_time: server.cold_time,
            fall_multiple: server.fall_multiple,
            fall_time: server.fall_time,
            drain_grace: scenario.discovery.drain_grace,
            ask_every: base.rules.ask_every,
        },
        goal: oakport_core::Goal {
            whole: goal.whole,
            worst_class: goal.worst_class,
            worst_tenant: 0.0,
            worst_window: goal.worst_window,
        },
        charges: oakport_core::Charges {
            cross_zone: goal.cross_zone,
            probe: 0.0,
            handshake: goal.handshake,
            waste: goal.waste,
            late_fail: goal.late_fail,
        },
        ..base
    }
}
