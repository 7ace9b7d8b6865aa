//! Draws the scenario of a soak run from its seed: a small fleet and its faults, as TOML.

mod transfers;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;
use std::ops::RangeInclusive;
use transfers::Transfers;

const CLIENT_PROXIES: RangeInclusive<usize> = 2..=8;
const ENDPOINTS: RangeInclusive<usize> = 3..=12;
const ZONES: [&str; 3] = ["nottingham", "derby", "leicester"];
/// Share of the endpoints' capacity that the requests use.
const UTILISATION: RangeInclusive<f64> = 0.1..=0.4;
const REQUESTS_PER_SECOND: RangeInclusive<f64> = 30.0..=300.0;
const CORES_PER_ENDPOINT: f64 = 2.0;
/// Duration of the request load. Events that end a process start early enough that the process is killed
/// before the end of the load.
const LENGTH_MS: u64 = 9_000;
const PROCESS_EVENT_AT_MS: RangeInclusive<u64> = 800..=3_500;
const TEMPORARY_EVENT_AT_MS: RangeInclusive<u64> = 500..=6_000;
const TEMPORARY_EVENT_LENGTH_MS: RangeInclusive<u64> = 300..=2_500;
const MAX_TEMPORARY_EVENTS: usize = 4;
/// Delay of extra responses. oakport first reuses a connection only after it has been silent for longer than
/// this after a response, so that an endpoint that always sends extra responses this late is recognised.
const EXTRA_RESPONSE_AFTER_MS: RangeInclusive<u64> = 1..=30;
const CLOSES_IDLE_AFTER_MS: RangeInclusive<u64> = 5..=300;
const CROWD_CONNECTIONS: RangeInclusive<usize> = 20..=150;
/// Series of signals that a process may receive.
const SIGNAL_SERIES: [&str; 7] = [
    r#"["hup", "hup"]"#,
    r#"["hup", "hup_invalid", "hup"]"#,
    r#"["hup", "term"]"#,
    r#"["hup_invalid", "term"]"#,
    r#"["hup", "hup", "hup", "term"]"#,
    r#"["term", "term"]"#,
    r#"["term", "hup", "term"]"#,
];

/// The plan of this seed, as a scenario in TOML.
pub fn plan(seed: u64) -> String {
    let mut plan = Plan { random: Pcg64::seed_from_u64(seed), text: String::new() };
    let transfers = Transfers::draw(seed);
    let load = plan.fleet(seed);
    if let Some(transfers) = &transfers {
        transfers
            .classes(load.requests_per_second / load.classes as f64)
            .iter()
            .for_each(|class| plan.write_line(format_args!("{class}")));
    }
    plan.process_event(transfers.as_ref());
    plan.permanent_endpoint_faults();
    for _ in 0..plan.random.gen_range(1..=MAX_TEMPORARY_EVENTS) {
        plan.temporary_event();
    }
    plan.text
}

/// The request load of a drawn fleet.
struct Load {
    requests_per_second: f64,
    /// Number of classes, each with a share of 1.
    classes: usize,
}

/// A class of requests.
struct Class {
    name: &'static str,
    work_ms: u64,
    objective_ms: u64,
    deadline_ms: u64,
    idempotency: &'static str,
}

struct Plan {
    random: Pcg64,
    text: String,
}

impl Plan {
    fn write_line(&mut self, line: std::fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.text, "{line}");
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.random.gen_ratio(1, count)
    }

    fn fleet(&mut self, seed: u64) -> Load {
        let proxies = self.random.gen_range(CLIENT_PROXIES);
        let endpoints = self.random.gen_range(ENDPOINTS);
        let zones = &ZONES[..self.random.gen_range(1..=ZONES.len())];
        let classes = self.draw_classes();
        let mean_work_s =
            classes.iter().map(|class| class.work_ms as f64 / 1e3).sum::<f64>() / classes.len() as f64;
        let capacity = endpoints as f64 * CORES_PER_ENDPOINT / mean_work_s;
        let rate = (capacity * self.random.gen_range(UTILISATION))
            .clamp(*REQUESTS_PER_SECOND.start(), *REQUESTS_PER_SECOND.end());
        let unevenness = self.random.gen_range(0.0..=1.0);
        self.write_line(format_args!("purpose = \"soak, seed {seed}\""));
        self.write_line(format_args!("length = \"{LENGTH_MS}ms\""));
        self.write_line(format_args!("balancers = {proxies}"));
        self.write_line(format_args!("servers = {endpoints}"));
        self.write_line(format_args!("rate = {rate:.1}"));
        self.write_line(format_args!("uneven = {unevenness:.1}"));
        self.write_line(format_args!("zones = {zones:?}"));
        self.write_server();
        self.write_clients_and_discovery();
        classes.iter().for_each(|class| self.write_class(class));
        Load { requests_per_second: rate, classes: classes.len() }
    }

    fn write_server(&mut self) {
        let idle_close_ms = *[600, 2_000, 5_000].choose(&mut self.random).unwrap_or(&5_000);
        let cold_s = self.random.gen_range(2..=6);
        self.write_line(format_args!("\n[server]"));
        self.write_line(format_args!("cores = {CORES_PER_ENDPOINT:.1}"));
        self.write_line(format_args!("cold_time = \"{cold_s}s\""));
        self.write_line(format_args!("fall_time = \"1s\""));
        self.write_line(format_args!("idle_close = \"{idle_close_ms}ms\""));
    }

    fn write_clients_and_discovery(&mut self) {
        let retries = self.random.gen_range(0..=2);
        let min_timeout_ratio = if self.one_in(2) { self.random.gen_range(0.2..=0.9) } else { 1.0 };
        self.write_line(format_args!("\n[clients]"));
        self.write_line(format_args!("retries = {retries}"));
        self.write_line(format_args!("patience = {min_timeout_ratio:.2}"));
        let delay_ms = self.random.gen_range(50..=400);
        let grace_ms = self.random.gen_range(500..=1_000);
        self.write_line(format_args!("\n[discovery]"));
        self.write_line(format_args!("delay = \"{delay_ms}ms\""));
        self.write_line(format_args!("drain_grace = \"{grace_ms}ms\""));
    }

    fn draw_classes(&mut self) -> Vec<Class> {
        let names = ["card-check", "journey-lookup", "fare-charge"];
        let count = self.random.gen_range(1..=names.len());
        let draw = |(number, name): (usize, &'static str)| {
            let objective_ms = self.random.gen_range(150..=600);
            let is_idempotent = if number == 0 { true } else { self.random.gen_ratio(1, 2) };
            Class {
                name,
                work_ms: self.random.gen_range(4..=60),
                objective_ms,
                deadline_ms: self.random.gen_range(objective_ms + 100..=3_000),
                idempotency: if is_idempotent { "free" } else { "single_shot" },
            }
        };
        names.into_iter().enumerate().take(count).map(draw).collect()
    }

    fn write_class(&mut self, class: &Class) {
        self.write_line(format_args!("\n[[class]]\nname = \"{}\"\nshare = 1", class.name));
        self.write_line(format_args!("work = \"{}ms\"", class.work_ms));
        self.write_line(format_args!("aim = \"{}ms\"", class.objective_ms));
        self.write_line(format_args!("deadline = \"{}ms\"", class.deadline_ms));
        self.write_line(format_args!("idempotency = \"{}\"", class.idempotency));
    }

    fn write_event(&mut self, at_ms: u64, length_ms: u64, kind: &str) {
        self.write_line(format_args!(
            "\n[[event]]\nat = \"{at_ms}ms\"\nfor = \"{length_ms}ms\"\nwhat = \"{kind}\""
        ));
    }

    fn write_part(&mut self, range: RangeInclusive<f64>) {
        let part = self.random.gen_range(range);
        self.write_line(format_args!("part = {part:.2}"));
    }

    /// Adds the event that ends or signals client proxies. In plans with large bodies, it is always the event
    /// that the transfers were planned with, so that transfers are in progress when the processes end.
    fn process_event(&mut self, transfers: Option<&Transfers>) {
        let at_ms = self.random.gen_range(PROCESS_EVENT_AT_MS);
        if let Some(transfers) = transfers {
            self.write_event(at_ms, 0, transfers.process_event);
            self.write_line(format_args!("clients_stay = true"));
            return self.write_part(0.5..=1.0);
        }
        match self.random.gen_range(0..10) {
            0..=4 => {
                let length_ms = self.random.gen_range(20..=800);
                self.write_event(at_ms, length_ms, "signals");
                let series = SIGNAL_SERIES.choose(&mut self.random).unwrap_or(&SIGNAL_SERIES[0]);
                self.write_line(format_args!("signals = {series}"));
                self.write_line(format_args!("clients_stay = true"));
            }
            5..=6 => {
                self.write_event(at_ms, 0, "restart");
                self.write_line(format_args!("clients_stay = true"));
            }
            7..=8 => self.write_event(at_ms, 0, "upgrade"),
            _ => self.write_event(at_ms, 500, "kill"),
        }
        self.write_part(0.3..=1.0);
    }

    /// Adds faults of endpoints that last for the whole run.
    fn permanent_endpoint_faults(&mut self) {
        for (kind, after_ms) in
            [("extra_responses", EXTRA_RESPONSE_AFTER_MS), ("closes_idle", CLOSES_IDLE_AFTER_MS)]
        {
            if self.one_in(2) {
                let after_ms = self.random.gen_range(after_ms);
                self.write_event(0, LENGTH_MS, kind);
                self.write_line(format_args!("after = \"{after_ms}ms\""));
                self.write_part(0.2..=0.6);
            }
        }
    }

    /// Adds a temporary fault of endpoints, discovery or clients.
    fn temporary_event(&mut self) {
        const KINDS: [&str; 12] = [
            "slow",
            "hang",
            "error",
            "reset",
            "silent",
            "crash",
            "release",
            "list_silent",
            "list_unavailable",
            "watches_silent",
            "crowd",
            "surge",
        ];
        let kind = *KINDS.choose(&mut self.random).unwrap_or(&KINDS[0]);
        let at_ms = self.random.gen_range(TEMPORARY_EVENT_AT_MS);
        let length_ms = self.random.gen_range(TEMPORARY_EVENT_LENGTH_MS);
        self.write_event(at_ms, length_ms, kind);
        match kind {
            "crowd" => {
                let connections = self.random.gen_range(CROWD_CONNECTIONS);
                self.write_line(format_args!("connections = {connections}"));
                self.write_part(0.3..=1.0);
            }
            "surge" => self.write_line(format_args!("factor = 1.5")),
            "list_silent" | "list_unavailable" | "watches_silent" => self.write_part(0.3..=1.0),
            _ => self.write_part(0.1..=0.35),
        }
    }
}
