//! Calls and their attempts, from a request's arrival until its answer is given and nothing is out for it, with the
//! moments at which something is due. Each call gets one final answer, each attempt one outcome.

use crate::metrics::{Metrics, RequestOutcome};
use crate::request::Request;
use crate::response::{AttemptResult, FinalResponse, StreamingResponse};
use oakport_core::{CallId, ClassId, EndpointId, Event, Micros, Outcome};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

#[derive(Debug)]
struct Attempt {
    server: EndpointId,
    sent: Micros,
    until: Micros,
    /// It may not begin from then on.
    by: Micros,
    /// Its first byte may have been written.
    started: bool,
    /// None once its outcome is in.
    task: Option<AbortHandle>,
    out: bool,
    /// Its answer is being passed on.
    begun: bool,
}

struct Call {
    class: ClassId,
    request: Rc<Request>,
    /// Never, until the last byte of its body has come.
    deadline: Micros,
    /// Taken when the final answer is given.
    answer: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Attempt>,
}

/// What is due at a moment. The order matters: at a deadline the attempts time out first, so that the module
/// can end the call itself, then its own timer comes, and only then the backstop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(CallId, u32),
    Module,
    Backstop(CallId),
}

/// An attempt as it goes out.
pub struct OutgoingAttempt {
    pub number: u32,
    pub request: Rc<Request>,
    /// When it times out; `Micros::MAX` while a large request is still coming, as no time runs then.
    pub until: Micros,
    /// Somebody still waits for it, and there is time.
    pub wanted: bool,
}

impl OutgoingAttempt {
    pub fn timed(&self) -> bool {
        self.until < Micros::MAX
    }
}

/// All calls that are open or have attempts out.
pub struct CallTable {
    figures: Rc<Metrics>,
    calls: HashMap<CallId, Call>,
    open: usize,
    next: u64,
    timers: BTreeSet<(Micros, Due)>,
}

impl CallTable {
    pub fn new(figures: Rc<Metrics>) -> Self {
        CallTable { figures, calls: HashMap::new(), open: 0, next: 0, timers: BTreeSet::new() }
    }

    /// Calls without their final answer.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Does its client still wait?
    pub fn is_open(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|c| c.answer.is_some())
    }

    /// The earliest moment at which something is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|t| t.0)
    }

    /// Sets the module's own timer.
    pub fn wake(&mut self, at: Micros) {
        self.timers.insert((at, Due::Module));
    }

    /// Takes a request on; its answer comes by the receiver.
    pub fn add(
        &mut self,
        now: Micros,
        class: ClassId,
        request: Request,
    ) -> (CallId, oneshot::Receiver<FinalResponse>) {
        let (sender, receiver) = oneshot::channel();
        let call = CallId(self.next);
        self.next += 1;
        self.open += 1;
        let whole = request.upload.is_none();
        let deadline = if whole { now + request.client_timeout } else { Micros::MAX };
        let (request, attempts) = (Rc::new(request), Vec::new());
        self.calls.insert(call, Call { class, request, deadline, answer: Some(sender), attempts });
        if whole {
            self.timers.insert((deadline, Due::Backstop(call)));
        }
        (call, receiver)
    }

    /// The last byte of a large request has come: its time counts from now. None: nobody waits any more.
    pub fn whole(&mut self, now: Micros, id: CallId) -> Option<Event> {
        let call = self.calls.get_mut(&id).filter(|c| c.answer.is_some())?;
        let time_left = call.request.client_timeout;
        call.deadline = now + time_left;
        self.timers.insert((call.deadline, Due::Backstop(id)));
        for (number, attempt) in (0..).zip(&mut call.attempts).filter(|(_, a)| a.out) {
            (attempt.sent, attempt.until) = (now, call.deadline);
            self.timers.insert((attempt.until, Due::Attempt(id, number)));
        }
        Some(Event::RequestComplete { call: id, remaining_time: time_left })
    }

    /// Notes an attempt that the module asks for. None: there is no such call.
    pub fn send(
        &mut self,
        now: Micros,
        id: CallId,
        server: EndpointId,
        (until, by): (Option<Micros>, Option<Micros>),
    ) -> Option<OutgoingAttempt> {
        let call = self.calls.get_mut(&id)?;
        let number = call.attempts.len() as u32;
        let timed = call.deadline < Micros::MAX;
        let until = until.filter(|&u| u > 0 && timed).unwrap_or(Micros::MAX).min(call.deadline);
        let (by, started, begun) = (by.unwrap_or(Micros::MAX), false, false);
        call.attempts.push(Attempt { server, sent: now, until, by, started, task: None, out: true, begun });
        let wanted = call.answer.is_some() && until > now;
        Some(OutgoingAttempt { number, request: Rc::clone(&call.request), until, wanted })
    }

    /// An attempt is under way in this task, until its time is up.
    pub fn under_way(&mut self, id: CallId, number: u32, task: AbortHandle) {
        let attempt = self.calls.get_mut(&id).and_then(|c| c.attempts.get_mut(number as usize));
        let Some(attempt) = attempt else { return };
        attempt.task = Some(task);
        if attempt.until < Micros::MAX {
            self.timers.insert((attempt.until, Due::Attempt(id, number)));
        }
    }

    /// May the first byte of this attempt be written now, as far as the call goes? `ready` tells of its host.
    pub fn may_start(
        &mut self,
        now: Micros,
        id: CallId,
        number: u32,
        ready: impl FnOnce(EndpointId) -> bool,
    ) -> bool {
        let call = self.calls.get_mut(&id).filter(|c| c.answer.is_some());
        let attempt = call.and_then(|c| c.attempts.get_mut(number as usize)).filter(|a| a.out);
        let Some(attempt) = attempt else { return false };
        attempt.started = now < attempt.until.min(attempt.by) && ready(attempt.server);
        attempt.started
    }

    /// A large answer begins. None if the call has ended meanwhile: then nobody wants it.
    pub fn begin(&mut self, id: CallId, number: u32, begun: StreamingResponse) -> Option<Event> {
        let call = self.calls.get_mut(&id)?;
        let attempt = call.attempts.get_mut(number as usize).filter(|a| a.out)?;
        let sender = call.answer.take()?;
        // From here on the client has it, and no time of ours ends it.
        attempt.begun = true;
        self.timers.remove(&(attempt.until, Due::Attempt(id, number)));
        self.timers.remove(&(call.deadline, Due::Backstop(id)));
        let _ = sender.send(FinalResponse::Streaming(begun));
        Some(Event::ResponseStarted { call: id, attempt: number })
    }

    /// Gives the final answer, if it has not been given yet.
    pub fn close(&mut self, id: CallId, answer: Option<FinalResponse>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(sender) = call.answer.take() {
            self.open -= 1;
            self.timers.remove(&(call.deadline, Due::Backstop(id)));
            if let Some(answer) = answer {
                let refused = matches!(answer, FinalResponse::Rejected { .. });
                self.figures.count_request(
                    call.class,
                    if refused { RequestOutcome::Rejected } else { RequestOutcome::Failed },
                );
                // The client may be gone: then its connection's end says so.
                let _ = sender.send(answer);
            }
        }
        self.tidy(id);
    }

    /// Notes the end of an attempt and stops its task. None if it had ended before.
    pub fn outcome(&mut self, now: Micros, id: CallId, number: u32, ended: AttemptResult) -> Option<Event> {
        let call = self.calls.get_mut(&id)?;
        let attempt = call.attempts.get_mut(number as usize).filter(|a| a.out)?;
        attempt.out = false;
        self.timers.remove(&(attempt.until, Due::Attempt(id, number)));
        if let Some(task) = attempt.task.take() {
            // Its connection goes with it: the host learns that nobody waits.
            task.abort();
        }
        let elapsed = now.saturating_sub(attempt.sent);
        let AttemptResult { outcome, load, served } = ended;
        if let Some((body, content_type)) = served {
            if let Some(sender) = call.answer.take() {
                self.open -= 1;
                self.timers.remove(&(call.deadline, Due::Backstop(id)));
                self.figures.count_request(call.class, RequestOutcome::Served);
                let _ = sender.send(FinalResponse::Served { body, content_type });
            }
        }
        if attempt.begun {
            self.open -= 1;
            match outcome {
                Outcome::Served => self.figures.count_request(call.class, RequestOutcome::Served),
                // The client left.
                Outcome::Cancelled => {}
                _ => self.figures.count_request(call.class, RequestOutcome::Failed),
            }
        }
        let closed = call.answer.is_none();
        Some(Event::AttemptEnded { call: id, attempt: number, outcome, elapsed, call_closed: closed, load })
    }

    /// How many attempts have been made for a call.
    pub fn attempts(&self, id: CallId) -> u32 {
        self.calls.get(&id).map_or(0, |c| c.attempts.len() as u32)
    }

    /// Forgets a call once it has ended and none of its attempts is out.
    pub fn tidy(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.answer.is_none() && c.attempts.iter().all(|a| !a.out)) {
            self.calls.remove(&id);
        }
    }

    /// What the next thing that is due by now means to the module. None: nothing is due; `Some(None)`: nothing.
    pub fn due(&mut self, now: Micros) -> Option<Option<Event>> {
        let (_, due) = self.timers.first().filter(|t| t.0 <= now).copied()?;
        self.timers.pop_first();
        Some(match due {
            Due::Attempt(call, number) => {
                let tried = self.calls.get(&call).and_then(|c| c.attempts.get(number as usize));
                // Its time may be up while it still waits for its connection. Then it never ran, and to
                // say 'timed out' would fail an unsafe call that may safely go again or be refused.
                let outcome = match tried {
                    Some(Attempt { started: false, .. }) => Outcome::ConnectFailed,
                    _ => Outcome::TimedOut,
                };
                self.outcome(now, call, number, outcome.into())
            }
            Due::Module => Some(Event::Timer),
            Due::Backstop(call) => self.is_open(call).then(|| {
                // Whatever the module does, a call ends by its deadline.
                self.close(call, Some(FinalResponse::DeadlineExceeded));
                Event::ClientDisconnected { call }
            }),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::downstream::connection::ClientPresence;
    use bytes::Bytes;
    use hyper::http::{HeaderMap, Method, Uri};

    fn request(time: Micros) -> Request {
        let (uri, headers) = (Uri::from_static("/a"), HeaderMap::new());
        Request {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
            upload: None,
            length: Some(0),
            client_timeout: time,
            client: ClientPresence::default(),
        }
    }

    /// The module ends each call by itself; should it ever forget one, the client still gets its answer.
    #[test]
    fn a_call_that_the_module_forgot_ends_at_its_deadline_once() {
        let mut calls = CallTable::new(Rc::default());
        let (call, mut answer) = calls.add(1_000, ClassId(0), request(30_000));
        assert_eq!(calls.next_due(), Some(31_000));
        assert!(calls.due(30_999).is_none() && answer.try_recv().is_err(), "not before its time");
        assert_eq!(calls.due(31_000), Some(Some(Event::ClientDisconnected { call })));
        assert!(matches!(answer.try_recv(), Ok(FinalResponse::DeadlineExceeded)));
        assert_eq!((calls.open(), calls.calls.len(), calls.next_due()), (0, 0, None));
        calls.close(call, Some(FinalResponse::Failed));
        assert_eq!(calls.open(), 0, "a second end changes nothing");
    }

    #[test]
    fn an_attempt_that_never_began_has_not_run_when_its_time_is_up() {
        for (begins, wanted) in [(false, Outcome::ConnectFailed), (true, Outcome::TimedOut)] {
            let mut calls = CallTable::new(Rc::default());
            let (call, _answer) = calls.add(0, ClassId(0), request(9_000));
            let outgoing = calls.send(0, call, EndpointId(3), (Some(5_000), None)).expect("an open call");
            assert!(outgoing.wanted && outgoing.timed());
            calls.timers.insert((5_000, Due::Attempt(call, 0)));
            assert!(!calls.may_start(0, call, 0, |_| false), "its host drains");
            assert_eq!(calls.may_start(4_000, call, 0, |server| begins && server == EndpointId(3)), begins);
            let outcome = match calls.due(5_000) {
                Some(Some(Event::AttemptEnded { outcome, call_closed: false, .. })) => outcome,
                other => panic!("{other:?}"),
            };
            assert_eq!(outcome, wanted);
            assert_eq!(calls.outcome(5_001, call, 0, Outcome::Served.into()), None, "one outcome each");
        }
    }
}
