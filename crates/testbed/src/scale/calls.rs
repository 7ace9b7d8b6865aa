//! Passing calls on: what a chain of proxies adds to a call beside the same chain without them.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::chain::{self, Outcome, Pace, Played};
use std::time::{Duration, Instant};

/// Calls a second of a process: 310,000 by 6,300 processes, and five times that.
const RATES: [(&str, Pace); 2] =
    [("at_49", Pace { rate: 49.0, length: 9_000_000 }), ("at_245", Pace { rate: 245.0, length: 6_000_000 })];
/// To start the chain and to warm it up.
const START: Duration = Duration::from_secs(2);

/// What a call may get longer by, for 99 in 100, in microseconds. The operators leave open whether that is
/// each hop (size 1) or the whole call (size 17): both are told.
const ADDED: f64 = 1_800.0;

/// The role.
pub const ROLE: RoleSpec = RoleSpec {
    name: "calls",
    size_unit: "hops",
    sizes: &[1, 4, 8, 17],
    bounds: &[
        Bound { figure: "at_49.added_p99_us", max: ADDED, min_size: 1, is_enforced: false },
        Bound { figure: "at_245.added_p99_us", max: ADDED, min_size: 1, is_enforced: false },
        Bound { figure: "at_49.failed_share", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "at_245.failed_share", max: 0.0, min_size: 1, is_enforced: true },
    ],
    measure: play,
};

fn play(point: &Point) -> Result<Figures, MeasureError> {
    /// Hops of the deepest call that ids can tell.
    const DEEPEST: usize = 200;
    if point.size > DEEPEST {
        return Err(MeasureError::NotRun(format!("each hop is a process; at most {DEEPEST}")));
    }
    let paces = RATES.map(|(_, pace)| pace);
    let takes = paces.iter().map(Pace::lasts).sum::<Duration>() + START;
    if Instant::now() + takes > point.deadline {
        return Err(MeasureError::NotRun(format!("it takes {} s, and less is left", takes.as_secs())));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| MeasureError::Failed(format!("runtime: {e}")))?;
    let played = runtime.block_on(async {
        let played = chain::play(&point.program, point.size, &paces, point.seed);
        tokio::select! {
            played = played => played.map_err(MeasureError::Failed),
            () = tokio::time::sleep_until(point.deadline.into()) => {
                Err(MeasureError::NotRun("it did not end in its time".to_owned()))
            }
            _ = tokio::signal::ctrl_c() => Err(MeasureError::Failed("interrupted".to_owned())),
        }
    })?;
    if played.outcomes.iter().any(Outcome::too_late) {
        let why = "the rig itself was too late to judge: more than 20 ms at p99; give it idle cores";
        return Err(MeasureError::NotRun(why.to_owned()));
    }
    Ok(figures(&played))
}

fn figures(played: &Played) -> Figures {
    let mut figures = Figures::from([("memory_bytes".to_owned(), played.memory_bytes)]);
    for ((rate, _), Outcome { proxies, direct, cpu_share, late }) in RATES.iter().zip(&played.outcomes) {
        let mut tell = |name: &str, value: f64| figures.insert(format!("{rate}.{name}"), value);
        let failed = |trip: &chain::Trip| 1.0 - trip.answered as f64 / (trip.asked as f64).max(1.0);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
            let time = |trip: &chain::Trip| trip.times.value_at_quantile(quantile) as f64;
            tell(&format!("added_{name}_us"), time(proxies) - time(direct));
        }
        tell("direct_p99_us", direct.times.value_at_quantile(0.99) as f64);
        tell("sent_late_p99_us", late.value_at_quantile(0.99) as f64);
        tell("cpu_share", *cpu_share);
        tell("failed_share", failed(proxies));
        tell("direct_failed_share", failed(direct));
    }
    figures
}
