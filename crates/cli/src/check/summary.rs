//! Summary of a configuration as text.

use comfy_table::{presets, Table};
use oakport_core::{Class, DeduplicationScope, Idempotency, Limits, Micros};
use oakport_proxy::{client_capacity, Config};
use serde_json::Value;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

const NOT_CONFIGURED: &str = "not configured";

/// The summary of a valid configuration.
pub fn summary(file: &Path, config: &Config) -> String {
    let mut text = format!("{}: good\n", file.display());
    for (name, value) in addresses(config).into_iter().chain(resources(config)).chain(rules(config)) {
        // Writing to a string does not fail.
        let _ = writeln!(text, "  {name:<17} {value}");
    }
    append_table(&mut text, &classes_table(config));
    let defaults = defaults_table(config);
    if !defaults.is_empty() {
        text.push_str("  defaults of the keys that are left out:\n");
    }
    append_table(&mut text, &defaults);
    text
}

/// Label and text of a line of the summary.
type Line = (&'static str, String);

fn addresses(config: &Config) -> Vec<Line> {
    let capacity = client_capacity(config.limits.sockets);
    let clients = format!(
        "at {}, up to {} connections, {} more are rejected",
        config.listen, capacity.max_connections, capacity.max_rejected
    );
    let admin = config.admin_address.map_or(NOT_CONFIGURED.to_owned(), |address| format!("at {address}"));
    let peers = config.membership.as_ref().map_or(NOT_CONFIGURED.to_owned(), |membership| {
        let seeds: Vec<String> = membership.seeds.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(", ");
        format!("at {}, fleet {}, seeds {seeds}", membership.address, membership.fleet)
    });
    vec![
        ("clients", clients),
        ("discovery", format!("at {}", config.discovery)),
        ("operators", admin),
        ("peers", peers),
    ]
}

fn resources(config: &Config) -> Vec<Line> {
    let max_open_requests = config.settings.transport.max_open_requests;
    let max_attempts = config.settings.settings.limits.max_attempts;
    vec![
        ("descriptors", config.limits.sockets.to_string()),
        ("memory", format!("{} MiB, up to three fifths of it for bodies", config.limits.memory_mb)),
        ("requests", format!("up to {max_open_requests} open, up to {max_attempts} attempts each")),
    ]
}

fn rules(config: &Config) -> Vec<Line> {
    let transport = &config.settings.transport;
    let settings = &config.settings.settings;
    let rules = &settings.rules;
    let connections = format!(
        "connect timeout {}, closed when idle for {}",
        duration(transport.connect_timeout),
        duration(transport.idle_connection_timeout / 4 * 3)
    );
    let slow_start = format!(
        "{:.0}% of capacity at first, 100% after {}",
        rules.warm_up_initial_ratio * 100.0,
        duration(rules.warm_up_duration)
    );
    vec![
        ("site allows", site_limits(&settings.limits)),
        ("client proxies", settings.proxy_count.to_string()),
        ("connections", connections),
        ("draining", format!("no new requests after {}", duration(rules.drain_grace))),
        ("slow start", slow_start),
    ]
}

fn site_limits(limits: &Limits) -> String {
    let allowed =
        |allowed: bool, feature: &str| if allowed { feature.to_owned() } else { format!("no {feature}") };
    let retry_after = match limits.max_retry_after {
        0 => "no Retry-After".to_owned(),
        longest => format!("Retry-After up to {}", duration(longest)),
    };
    let parts = [
        allowed(limits.hedging, "hedging"),
        allowed(limits.cancellation, "cancellation"),
        allowed(limits.load_polling, "load polls"),
        retry_after,
    ];
    parts.join(", ")
}

fn classes_table(config: &Config) -> Table {
    let mut table = Table::new();
    let header = ["  class", "aim", "deadline", "worth", "may be repeated"];
    table.load_preset(presets::NOTHING).set_header(header);
    for (name, class) in config.settings.class_names.iter().zip(&config.settings.settings.classes) {
        table.add_row([
            format!("  {name}"),
            duration(class.latency_objective),
            duration(class.client_timeout),
            class.priority_weight.to_string(),
            idempotency(class),
        ]);
    }
    table
}

fn idempotency(class: &Class) -> String {
    match class.idempotency {
        Idempotency::Idempotent => "yes".to_owned(),
        Idempotency::NonIdempotent => "never".to_owned(),
        Idempotency::Deduplicated { scope, window } => {
            let scope = match scope {
                DeduplicationScope::All => "on any endpoint",
                DeduplicationScope::Zone => "in the same zone",
                DeduplicationScope::Cell => "in the same cell",
            };
            format!("{scope} for {}", duration(window))
        }
    }
}

fn defaults_table(config: &Config) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    for (key, value) in &config.defaulted {
        if let Some(value) = default_value(key, value) {
            table.add_row([format!("    {key}"), value]);
        }
    }
    table
}

/// A default value as text; `None` if it is empty.
fn default_value(key: &str, value: &Value) -> Option<String> {
    match value {
        _ if key == "seed" => Some("random at each start".to_owned()),
        Value::Number(number) if key.ends_with("_us") => Some(duration(number.as_u64()?)),
        Value::String(text) if text.is_empty() => None,
        Value::Array(items) if items.is_empty() => None,
        value => Some(value.to_string()),
    }
}

fn append_table(text: &mut String, table: &Table) {
    for row in table.lines() {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{}", row.trim_end());
    }
}

fn duration(microseconds: Micros) -> String {
    humantime::format_duration(Duration::from_micros(microseconds)).to_string()
}
