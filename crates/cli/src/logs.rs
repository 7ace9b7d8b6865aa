//! Log lines, to standard error: text or JSON, filtered by level, and bounded so that trouble which repeats with each
//! request can neither fill a disk nor take the processor.

use crate::args::{Format, Level};
use std::collections::HashMap;
use std::io::IsTerminal;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::{warn, Event, Metadata, Subscriber};
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// The variable that holds a filter, such as `warn,oakport_proxy::discovery=debug`.
const VARIABLE: &str = "OAKPORT_LOG";
/// Lines that each place in the code may write in a second.
const MOST: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);

/// What one place in the code has written of late.
struct Line {
    at: &'static Metadata<'static>,
    since: Instant,
    told: u32,
    left_out: u64,
}

/// Bounds the lines of each place in the code, and counts those left out.
#[derive(Clone, Default)]
pub struct Bounds(Arc<Mutex<HashMap<Identifier, Line>>>);

impl Bounds {
    /// May a line of this place be written now?
    fn allows(&self, at: &'static Metadata<'static>, now: Instant) -> bool {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let line = lines.entry(at.callsite()).or_insert(Line { at, since: now, told: 0, left_out: 0 });
        if now.duration_since(line.since) >= SECOND {
            (line.since, line.told) = (now, 0);
        }
        let allowed = line.told < MOST;
        line.told += u32::from(allowed);
        line.left_out += u64::from(!allowed);
        allowed
    }

    /// Which places had lines left out, and how many; counted once.
    fn left_out(&self) -> Vec<(&'static Metadata<'static>, u64)> {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = lines.values_mut().map(|line| (line.at, std::mem::take(&mut line.left_out)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Says each second what was left out, for as long as the program runs.
    pub async fn tell(&self) {
        loop {
            tokio::time::sleep(SECOND).await;
            for (at, left_out) in self.left_out() {
                warn!(left_out, at = at.name(), "like lines left out");
            }
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Bounds {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        self.allows(event.metadata(), Instant::now())
    }
}

/// Starts logging. To be called once.
///
/// # Errors
/// `$OAKPORT_LOG` is no filter.
pub fn start(format: Format, level: Option<Level>) -> Result<Bounds, String> {
    let given = std::env::var(VARIABLE).ok().filter(|text| !text.is_empty() && level.is_none());
    let directives = given.clone().unwrap_or_else(|| format!("{:?}", level.unwrap_or(Level::Info)));
    let filter = EnvFilter::try_new(directives).map_err(|e| {
        let given = given.unwrap_or_default();
        format!("{VARIABLE}={given}: {e}; write a level, or PART=LEVEL,... such as warn,oakport_proxy=debug")
    })?;
    let bounds = Bounds::default();
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let all = tracing_subscriber::registry().with(filter).with(bounds.clone());
    match format {
        Format::Text => all.with(lines.with_ansi(std::io::stderr().is_terminal())).init(),
        Format::Json => all.with(lines.json().flatten_event(true)).init(),
    }
    Ok(bounds)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_bound_are_counted_and_told_once() {
        let seen = Arc::new(Mutex::new(Vec::new()));
        struct Keep(Arc<Mutex<Vec<&'static Metadata<'static>>>>);
        impl<S: Subscriber> Layer<S> for Keep {
            fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
                self.0.lock().expect("one thread").push(event.metadata());
            }
        }
        let bounds = Bounds::default();
        let subscriber = tracing_subscriber::registry().with(bounds.clone()).with(Keep(Arc::clone(&seen)));
        tracing::subscriber::with_default(subscriber, || {
            for _ in 0..MOST + 7 {
                warn!("again");
            }
            warn!("another");
        });
        let told = seen.lock().expect("one thread").clone();
        assert_eq!(told.len() as u32, MOST + 1, "the other place has a bound of its own");
        let left_out = bounds.left_out();
        assert_eq!(left_out.iter().map(|(_, count)| *count).collect::<Vec<_>>(), [7]);
        assert_eq!(left_out[0].0.callsite(), told[0].callsite());
        assert!(bounds.left_out().is_empty());
        let later = Instant::now() + SECOND;
        assert!(bounds.allows(told[0], later), "the next second has lines again");
    }
}
