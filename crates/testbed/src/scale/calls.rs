//! Role `calls`: the latency that a chain of proxies adds to a call, compared with the same chain without
//! proxies.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::chain::{self, ChainResult, LoadStep, StepResult};
use std::time::{Duration, Instant};

/// Calls a second of a process: 310,000 over 6,300 processes, and five times that rate.
const LOAD_STEPS: [(&str, LoadStep); 2] = [
    ("at_49", LoadStep { rate: 49.0, duration: 9_000_000 }),
    ("at_245", LoadStep { rate: 245.0, duration: 6_000_000 }),
];
/// Time to start the chain and to warm it up.
const STARTUP: Duration = Duration::from_secs(2);

/// Largest latency that may be added at p99. The operators leave open whether this applies to each hop (size
/// 1) or to the whole call (size 17), so both are reported.
const MAX_ADDED_P99_US: f64 = 1_800.0;

/// How the role is measured.
pub const ROLE: RoleSpec = RoleSpec {
    name: "calls",
    size_unit: "hops",
    sizes: &[1, 4, 8, 17],
    bounds: &[
        Bound { figure: "at_49.added_p99_us", max: MAX_ADDED_P99_US, min_size: 1, is_enforced: false },
        Bound { figure: "at_245.added_p99_us", max: MAX_ADDED_P99_US, min_size: 1, is_enforced: false },
        Bound { figure: "at_49.failed_share", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "at_245.failed_share", max: 0.0, min_size: 1, is_enforced: true },
    ],
    measure,
};

fn measure(point: &Point) -> Result<Figures, MeasureError> {
    /// Most hops that the ids of requests can distinguish.
    const MAX_HOPS: usize = 200;
    if point.size > MAX_HOPS {
        return Err(MeasureError::NotRun(format!(
            "{} hops, at most {MAX_HOPS}: each hop is a process",
            point.size
        )));
    }
    let steps = LOAD_STEPS.map(|(_, step)| step);
    let duration = steps.iter().map(LoadStep::total_duration).sum::<Duration>() + STARTUP;
    if Instant::now() + duration > point.deadline {
        return Err(MeasureError::NotRun(format!(
            "the measurement takes {} s, and less time is left",
            duration.as_secs()
        )));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| MeasureError::Failed(format!("runtime: {e}")))?;
    let result = runtime.block_on(async {
        let run = chain::run(&point.program, point.size, &steps, point.seed);
        tokio::select! {
            result = run => result.map_err(MeasureError::Failed),
            () = tokio::time::sleep_until(point.deadline.into()) => {
                Err(MeasureError::NotRun("the time limit was reached".to_owned()))
            }
            _ = tokio::signal::ctrl_c() => Err(MeasureError::Failed("interrupted".to_owned())),
        }
    })?;
    if result.outcomes.iter().any(StepResult::is_load_generator_late) {
        let reason =
            "the test cluster itself was too late to judge: more than 20 ms at p99; run it on idle cores";
        return Err(MeasureError::NotRun(reason.to_owned()));
    }
    Ok(figures(&result))
}

fn figures(result: &ChainResult) -> Figures {
    let mut figures = Figures::from([("memory_bytes".to_owned(), result.memory_bytes)]);
    for ((rate, _), StepResult { proxies, direct, cpu_share, late }) in
        LOAD_STEPS.iter().zip(&result.outcomes)
    {
        let mut add = |name: &str, value: f64| figures.insert(format!("{rate}.{name}"), value);
        let failed_share =
            |path: &chain::PathResult| 1.0 - path.answered as f64 / (path.sent as f64).max(1.0);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
            let time = |path: &chain::PathResult| path.latencies.value_at_quantile(quantile) as f64;
            add(&format!("added_{name}_us"), time(proxies) - time(direct));
        }
        add("direct_p99_us", direct.latencies.value_at_quantile(0.99) as f64);
        add("sent_late_p99_us", late.value_at_quantile(0.99) as f64);
        add("cpu_share", *cpu_share);
        add("failed_share", failed_share(proxies));
        add("direct_failed_share", failed_share(direct));
    }
    figures
}
