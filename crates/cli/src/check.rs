//! `oakport check`: reads a configuration as serve would and tells what it would do.

use comfy_table::{presets, Table};
use oakport_core::{DeduplicationScope, Idempotency, Micros};
use oakport_proxy::{client_capacity, Checked, Config, DiagnosticCounts};
use serde_json::Value;
use std::fmt::Write;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Checks all files; true if all are good.
pub fn run(files: &[PathBuf]) -> bool {
    let mut good = true;
    for file in files {
        let Checked { config, diagnostics: faults } = Config::check(file);
        let DiagnosticCounts { errors: bad, warnings: harmless } = faults.count();
        if let Some(config) = &config {
            print!("{}", describe(file, config));
            if harmless > 0 {
                let keys: Vec<String> = faults.keys_without_effect().collect();
                println!("  without effect    {}", keys.join(", "));
            }
        } else {
            eprint!("{}", faults.render(std::io::stderr().is_terminal()));
            eprintln!("{}: {bad} fault{}", file.display(), if bad == 1 { "" } else { "s" });
            good = false;
        }
    }
    good
}

/// What a proxy does by a configuration.
fn describe(file: &Path, config: &Config) -> String {
    let (limits, transport) = (&config.limits, &config.settings.transport);
    let settings = &config.settings.settings;
    let (served, refused) = client_capacity(limits.sockets);
    let mut text = format!("{}: good\n", file.display());
    let mut line = |name: &str, what: String| {
        // Writing to a string does not fail.
        let _ = writeln!(text, "  {name:<17} {what}");
    };
    line(
        "clients",
        format!("at {}, {served} connections at a time, {refused} more are refused", config.listen),
    );
    line("discovery", format!("at {}", config.discovery));
    line("operators", config.admin_address.map_or("no address is opened".to_owned(), |a| format!("at {a}")));
    line(
        "peers",
        config.membership.as_ref().map_or("no address is opened".to_owned(), |peers| {
            let seeds = peers.seeds.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
            format!("at {}, of the fleet {}, asking {seeds} first", peers.address, peers.fleet)
        }),
    );
    line("descriptors", limits.sockets.to_string());
    line("memory", format!("{} MiB, a third of it for bodies", limits.memory_mb));
    line(
        "requests",
        format!(
            "{} open at a time, {} attempts each",
            transport.max_open_requests, settings.limits.max_attempts
        ),
    );
    let allowed = |allowed, what: &str| if allowed { what.to_owned() } else { format!("no {what}") };
    let site = [
        allowed(settings.limits.hedging, "second copies"),
        allowed(settings.limits.cancellation, "calling off"),
        allowed(settings.limits.load_polling, "probes"),
        match settings.limits.max_retry_after {
            0 => "no Retry-After".to_owned(),
            most => format!("Retry-After up to {}", time(most)),
        },
    ];
    line("the site allows", site.join(", "));
    line("client proxies", settings.proxy_count.to_string());
    line(
        "connections",
        format!(
            "given up after {}, closed when idle for {}",
            time(transport.connect_timeout),
            time(transport.idle_connection_timeout / 4 * 3)
        ),
    );
    line("draining servers", format!("get nothing new after {}", time(settings.rules.drain_grace)));
    line(
        "cold servers",
        format!(
            "have {:.0}% at first, all after {}",
            settings.rules.warm_up_initial_ratio * 100.0,
            time(settings.rules.warm_up_duration)
        ),
    );
    let mut classes = Table::new();
    classes.load_preset(presets::NOTHING).set_header([
        "  class",
        "aim",
        "deadline",
        "worth",
        "may run again",
    ]);
    for (name, class) in config.settings.class_names.iter().zip(&settings.classes) {
        let repeat = match class.idempotency {
            Idempotency::Idempotent => "yes".to_owned(),
            Idempotency::NonIdempotent => "never".to_owned(),
            Idempotency::Deduplicated { scope, window } => {
                let scope = match scope {
                    DeduplicationScope::All => "on any server",
                    DeduplicationScope::Zone => "in the same zone",
                    DeduplicationScope::Cell => "in the same cell",
                };
                format!("{scope} for {}", time(window))
            }
        };
        let (aim, deadline) = (time(class.latency_objective), time(class.client_timeout));
        classes.add_row([format!("  {name}"), aim, deadline, class.priority_weight.to_string(), repeat]);
    }
    for row in classes.lines() {
        let _ = writeln!(text, "{}", row.trim_end());
    }
    let mut left_out = Table::new();
    left_out.load_preset(presets::NOTHING);
    for (key, value) in config.defaulted.iter().filter_map(|(key, value)| Some((key, told(key, value)?))) {
        left_out.add_row([format!("    {key}"), value]);
    }
    if !left_out.is_empty() {
        let _ = writeln!(text, "  left out, so by default:");
    }
    for row in left_out.lines() {
        let _ = writeln!(text, "{}", row.trim_end());
    }
    text
}

/// A default as people would write it. None: it says nothing.
fn told(key: &str, value: &Value) -> Option<String> {
    match value {
        _ if key == "seed" => Some("drawn at each start".to_owned()),
        Value::Number(number) if key.ends_with("_us") => Some(time(number.as_u64()?)),
        Value::String(text) if text.is_empty() => None,
        Value::Array(all) if all.is_empty() => None,
        value => Some(value.to_string()),
    }
}

fn time(span: Micros) -> String {
    humantime::format_duration(Duration::from_micros(span)).to_string()
}
