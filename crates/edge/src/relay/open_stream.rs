//! A stream of events from an upstream, from its first event on.

use super::{
    AttemptFailure, CompleteResponse, EventPortion, PortionReader, UpstreamCall, UpstreamGuard, is_clean_close,
    is_delimited_by_close, read_response, start_attempt,
};
use actix_web::http::{
    StatusCode,
    header::{CONTENT_TYPE, HeaderMap},
};
use awc::{Client, ClientResponse, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use pimentoslip_kernel::{RunMonitor, TimePoint};
use pimentoslip_server::BufferShare;
use pimentoslip_wire::peer::RELAY_UNMEASURED_HEADER;
use std::time::Duration;

/// Response of an upstream to a request for a stream.
pub enum StreamAttempt<S> {
    /// A stream with its first events.
    Open(Box<OpenStream<S>>),
    /// A response that is no stream of events, such as an error.
    Whole(CompleteResponse),
}

/// Portion of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPortion {
    /// Complete events.
    Events(EventPortion),
    /// The stream has ended after its last event.
    End,
}

/// A stream of which at least one event was received, or the end.
pub struct OpenStream<S> {
    response: ClientResponse<S>,
    reader: PortionReader,
    /// Memory of what the reader keeps.
    share: BufferShare,
    /// Events that were received before the caller got any.
    first_portion: Option<EventPortion>,
    /// Whether the stream may end before its next event.
    may_be_empty: bool,
    is_ended: bool,
    /// Measures the intervals between the events.
    pub monitor: RunMonitor,
}

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether the body of a response with `headers` is a stream of events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    content_type.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Sends `call` to the guard's upstream and waits for the first event until the call's deadline.
pub async fn open_stream(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    sent_at: TimePoint,
    bytes_max: usize,
) -> std::result::Result<
    StreamAttempt<impl Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + use<>>,
    AttemptFailure,
> {
    let opening = async {
        let response = start_attempt(client, call, guard, sent_at).await.map_err(|error| error.failure)?;
        if !response.status().is_success() || !is_event_stream(response.headers()) {
            let response = read_response(response, bytes_max, guard.buffer_share()).await;
            return response.map(StreamAttempt::Whole).map_err(|error| error.failure);
        }
        let headers = response.headers();
        let is_measured = !is_delimited_by_close(headers) && !headers.contains_key(RELAY_UNMEASURED_HEADER);
        let mut stream = OpenStream {
            response,
            reader: PortionReader::new(call.last_event_id),
            share: guard.buffer_share(),
            first_portion: None,
            may_be_empty: call.last_event_id.is_none() || is_measured,
            is_ended: false,
            monitor: RunMonitor::new(sent_at),
        };
        match stream.receive().await? {
            StreamPortion::Events(portion) => stream.first_portion = Some(portion),
            StreamPortion::End => stream.is_ended = true,
        }
        Ok(StreamAttempt::Open(Box::new(stream)))
    };
    let wait = Duration::from_millis(call.deadline.since_ms(sent_at));
    actix_rt::time::timeout(wait, opening).await.unwrap_or(Err(AttemptFailure::TimedOut))
}

impl<S> OpenStream<S>
where
    S: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin,
{
    /// HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// The next portion of the stream. Fails if the stream breaks off, also within an event, or does not continue after the
    /// last event. The caller of this function bounds the wait.
    pub async fn next(&mut self) -> std::result::Result<StreamPortion, AttemptFailure> {
        if let Some(portion) = self.first_portion.take() {
            return Ok(StreamPortion::Events(portion));
        }
        if self.is_ended { Ok(StreamPortion::End) } else { self.receive().await }
    }

    async fn receive(&mut self) -> std::result::Result<StreamPortion, AttemptFailure> {
        loop {
            if let Some(failure) = self.reader.defect() {
                return Err(failure);
            }
            if !self.share.resize(self.reader.kept_bytes()) {
                return Err(AttemptFailure::Malformed);
            }
            let chunk = match self.response.next().await {
                Some(Ok(chunk)) => chunk,
                None => return self.end(),
                Some(Err(error)) if is_delimited_by_close(self.response.headers()) && is_clean_close(&error) => {
                    return self.end();
                }
                Some(Err(_)) => return Err(AttemptFailure::Lost),
            };
            if let Some(portion) = self.reader.add(&chunk) {
                self.may_be_empty |= portion.last_event.is_some();
                return Ok(StreamPortion::Events(portion));
            }
        }
    }

    /// Classifies the end of the response. A resumed stream without an event may be complete, but not if only the close of the
    /// connection ends it: then it may as well have broken off.
    fn end(&mut self) -> std::result::Result<StreamPortion, AttemptFailure> {
        if !self.reader.is_between_events() {
            return Err(AttemptFailure::Malformed);
        }
        if !self.may_be_empty {
            return Err(AttemptFailure::Lost);
        }
        self.is_ended = true;
        Ok(StreamPortion::End)
    }
}
