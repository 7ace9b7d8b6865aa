//! Tests of the rate limit of log lines.

use super::*;

/// Records the call site of each line that is logged.
struct RecordingLayer(Arc<Mutex<Vec<&'static Metadata<'static>>>>);

impl<S: Subscriber> Layer<S> for RecordingLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        self.0.lock().expect("one thread").push(event.metadata());
    }
}

#[test]
fn lines_beyond_the_rate_limit_are_suppressed_and_counted_once() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let rate_limit = RateLimit::default();
    let recording = RecordingLayer(Arc::clone(&seen));
    let subscriber = tracing_subscriber::registry().with(rate_limit.clone()).with(recording);
    tracing::subscriber::with_default(subscriber, || {
        for _ in 0..MAX_LINES_PER_WINDOW + 7 {
            warn!("repeated");
        }
        warn!("another");
    });
    let logged = seen.lock().expect("one thread").clone();
    assert_eq!(logged.len() as u32, MAX_LINES_PER_WINDOW + 1, "each call site has its own limit");
    let suppressed = rate_limit.take_suppressed();
    assert_eq!(suppressed.iter().map(|lines| lines.count).collect::<Vec<_>>(), [7]);
    assert_eq!(suppressed[0].call_site.callsite(), logged[0].callsite());
    assert!(rate_limit.take_suppressed().is_empty());
    let next_window = Instant::now() + WINDOW;
    assert!(rate_limit.allows(logged[0], next_window), "the limit applies to each window anew");
}
