//! Passing calls on: what a chain of proxies adds to a call beside the same chain without them.

use super::point::{Bound, Figures, Part, Point, Stopped};
use crate::cluster::chain::{self, ChainResult, LoadStep, StepResult};
use std::time::{Duration, Instant};

/// Calls a second of a process: 310,000 by 6,300 processes, and five times that.
const RATES: [(&str, LoadStep); 2] = [
    ("at_49", LoadStep { rate: 49.0, duration: 9_000_000 }),
    ("at_245", LoadStep { rate: 245.0, duration: 6_000_000 }),
];
/// To start the chain and to warm it up.
const START: Duration = Duration::from_secs(2);

/// What a call may get longer by, for 99 in 100, in microseconds. The operators leave open whether that is
/// each hop (size 1) or the whole call (size 17): both are told.
const ADDED: f64 = 1_800.0;

/// The role.
pub const PART: Part = Part {
    name: "calls",
    counts: "hops",
    sizes: &[1, 4, 8, 17],
    bounds: &[
        Bound { figure: "at_49.added_p99_us", most: ADDED, from: 1, expected: false },
        Bound { figure: "at_245.added_p99_us", most: ADDED, from: 1, expected: false },
        Bound { figure: "at_49.failed_share", most: 0.0, from: 1, expected: true },
        Bound { figure: "at_245.failed_share", most: 0.0, from: 1, expected: true },
    ],
    play,
};

fn play(point: &Point) -> Result<Figures, Stopped> {
    /// Hops of the deepest call that ids can tell.
    const DEEPEST: usize = 200;
    if point.size > DEEPEST {
        return Err(Stopped::NotRun(format!("each hop is a process; at most {DEEPEST}")));
    }
    let paces = RATES.map(|(_, pace)| pace);
    let takes = paces.iter().map(LoadStep::total_duration).sum::<Duration>() + START;
    if Instant::now() + takes > point.until {
        return Err(Stopped::NotRun(format!("it takes {} s, and less is left", takes.as_secs())));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Stopped::Odd(format!("runtime: {e}")))?;
    let played = runtime.block_on(async {
        let played = chain::run(&point.program, point.size, &paces, point.seed);
        tokio::select! {
            played = played => played.map_err(Stopped::Odd),
            () = tokio::time::sleep_until(point.until.into()) => {
                Err(Stopped::NotRun("it did not end in its time".to_owned()))
            }
            _ = tokio::signal::ctrl_c() => Err(Stopped::Odd("interrupted".to_owned())),
        }
    })?;
    if played.outcomes.iter().any(StepResult::is_load_generator_late) {
        let why = "the rig itself was too late to judge: more than 20 ms at p99; give it idle cores";
        return Err(Stopped::NotRun(why.to_owned()));
    }
    Ok(figures(&played))
}

fn figures(played: &ChainResult) -> Figures {
    let mut figures = Figures::from([("memory_bytes".to_owned(), played.memory_bytes)]);
    for ((rate, _), StepResult { proxies, direct, cpu_share, late }) in RATES.iter().zip(&played.outcomes) {
        let mut tell = |name: &str, value: f64| figures.insert(format!("{rate}.{name}"), value);
        let failed = |trip: &chain::PathResult| 1.0 - trip.answered as f64 / (trip.sent as f64).max(1.0);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
            let time = |trip: &chain::PathResult| trip.latencies.value_at_quantile(quantile) as f64;
            tell(&format!("added_{name}_us"), time(proxies) - time(direct));
        }
        tell("direct_p99_us", direct.latencies.value_at_quantile(0.99) as f64);
        tell("sent_late_p99_us", late.value_at_quantile(0.99) as f64);
        tell("cpu_share", *cpu_share);
        tell("failed_share", failed(proxies));
        tell("direct_failed_share", failed(direct));
    }
    figures
}
