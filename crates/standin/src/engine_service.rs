//! Stand-in for a model engine: continuous batching with priorities, a prefix cache, streaming and weight versions.

use crate::{
    EngineFault, EngineSettings, EngineSimulator, RecordedRequest, Result, RunningStandin, running::start_server,
    slot_queue::SlotQueue,
};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::{
    NOT_RUN, PRIORITY_HEADER, REQUEST_ID_HEADER, RUN_STATE_HEADER,
    engine::{Choice, ChoiceDelta, CompletionRequest, LoadOrder, LoadReport, StreamChunk, TokenUsage},
};
use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::mpsc;

/// Number of requests that are recorded; later ones are not.
const MAX_RECORDED_REQUESTS: usize = 10_000;
/// Priority of a request without a valid priority header.
const DEFAULT_PRIORITY: u32 = 100;
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Chunks that are generated ahead of a slow reader.
const CHUNK_BUFFER_LEN: usize = 64;
/// Exit status of a simulated crash.
const CRASH_EXIT_STATUS: i32 = 86;
const US_PER_MS: u64 = 1_000;

/// State shared by the request handlers.
struct EngineState {
    simulator: EngineSimulator,
    slots: SlotQueue,
    version: AtomicU64,
    /// Highest fencing number received with an order to load weights.
    max_fencing: AtomicU64,
    checks_fencing: bool,
    fault: Mutex<EngineFault>,
    requests: Mutex<Vec<RecordedRequest>>,
    /// Number of completion requests refused because the engine is leaving.
    refused_count: AtomicU64,
    load_orders: Mutex<Vec<LoadOrder>>,
}

impl EngineState {
    /// Faults that are active now.
    fn fault(&self) -> EngineFault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Faults for one request; decrements the faults that are limited to a number of requests.
    fn take_fault(&self) -> EngineFault {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let current = fault.clone();
        fault.wrong_request_ids = fault.wrong_request_ids.saturating_sub(1);
        fault.cut_streams = fault.cut_streams.saturating_sub(1);
        current
    }
}

/// Starts the stand-in at the address `listen` (`ip:port`). With `checks_fencing`, it rejects orders to load weights
/// whose fencing number is lower than one that it has received.
pub fn start_engine(listen: &str, settings: EngineSettings, checks_fencing: bool) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(EngineState {
        simulator: EngineSimulator::new(settings),
        slots: SlotQueue::new(settings.slots),
        version: AtomicU64::new(settings.initial_version),
        max_fencing: AtomicU64::new(0),
        checks_fencing,
        fault: Mutex::default(),
        requests: Mutex::default(),
        refused_count: AtomicU64::new(0),
        load_orders: Mutex::default(),
    }));
    start_server!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
            .route("/load", web::get().to(report_load))
            .route("/orders/load", web::put().to(load_weights))
            .route("/standin/fault", web::put().to(set_fault))
            .route("/standin/seen", web::get().to(list_requests))
            .route("/standin/refused", web::get().to(count_refused))
            .route("/standin/orders", web::get().to(list_load_orders))
    })
}

/// Answers a completion request, as a stream of events or as one JSON document.
async fn complete(state: web::Data<EngineState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let recorded = RecordedRequest::from_request(&request, &body);
    let fault = state.take_fault();
    let id = recorded.header(REQUEST_ID_HEADER).to_owned();
    if fault.leaving {
        state.refused_count.fetch_add(1, Ordering::SeqCst);
        return HttpResponse::ServiceUnavailable()
            .insert_header((REQUEST_ID_HEADER, id))
            .insert_header((RUN_STATE_HEADER, NOT_RUN))
            .finish();
    }
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return HttpResponse::BadRequest().insert_header((REQUEST_ID_HEADER, id)).finish();
    };
    let prompt = prompt_text(&completion);
    if fault.crash_on.as_ref().is_some_and(|text| prompt.contains(text.as_str())) {
        std::process::exit(CRASH_EXIT_STATUS);
    }
    let priority = recorded.header(PRIORITY_HEADER).parse().unwrap_or(DEFAULT_PRIORITY);
    {
        let mut requests = state.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if requests.len() < MAX_RECORDED_REQUESTS {
            requests.push(recorded);
        }
    }
    let answer_id = if fault.wrong_request_ids > 0 { "another-request".to_owned() } else { id.clone() };
    let (sender, receiver) = mpsc::channel(CHUNK_BUFFER_LEN);
    let is_streamed = completion.stream;
    actix_web::rt::spawn(generate(state.into_inner(), completion, prompt, priority, id, fault, sender));
    if is_streamed {
        let body = futures_util::stream::unfold(receiver, |mut receiver| async move {
            let chunk = receiver.recv().await?;
            Some((Ok::<_, io::Error>(encode_event(&chunk)), receiver))
        });
        return HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, answer_id))
            .content_type("text/event-stream")
            .streaming(body);
    }
    let response = collect_chunks(receiver).await;
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, answer_id)).json(response)
}

/// A chunk, or `None` at the end of the stream.
type StreamItem = Option<StreamChunk>;

/// Encodes a chunk, or the terminal marker of the stream, as a server-sent event.
fn encode_event(chunk: &StreamItem) -> Bytes {
    match chunk {
        Some(chunk) => format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default()).into(),
        None => Bytes::from_static(b"data: [DONE]\n\n"),
    }
}

/// Collects the chunks of an answer into one response.
async fn collect_chunks(mut receiver: mpsc::Receiver<StreamItem>) -> serde_json::Value {
    let mut text = String::new();
    let mut usage = TokenUsage::default();
    let mut version = None;
    while let Some(Some(chunk)) = receiver.recv().await {
        for choice in &chunk.choices {
            text.push_str(&choice.delta.content);
        }
        usage = chunk.usage.unwrap_or(usage);
        version = chunk.weight_version.or(version);
    }
    serde_json::json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" }],
        "usage": usage,
        "weight_version": version,
    })
}

/// Prompt of a completion request, or the messages of a chat joined by newlines.
fn prompt_text(completion: &CompletionRequest) -> String {
    let chat: Vec<&str> = completion.messages.iter().map(|message| message.content.as_str()).collect();
    completion.prompt.clone().unwrap_or_else(|| chat.join("\n"))
}

/// Generates the chunks of an answer at the configured speed, once a slot is free.
async fn generate(
    state: Arc<EngineState>,
    completion: CompletionRequest,
    prompt: String,
    priority: u32,
    id: String,
    fault: EngineFault,
    sender: mpsc::Sender<StreamItem>,
) {
    let _slot = state.slots.acquire(priority).await;
    let settings = state.simulator.settings();
    sleep_us(state.simulator.prefill_us(&prompt)).await;
    let total_tokens = state.simulator.answer_tokens(
        &prompt,
        completion.seed.unwrap_or(0),
        completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    );
    let mut generated_tokens = 0;
    let mut chunk_count = 0;
    while generated_tokens < total_tokens {
        let tokens = settings.chunk_tokens.min(total_tokens - generated_tokens);
        sleep_us(settings.token_us * u64::from(tokens)).await;
        generated_tokens += tokens;
        chunk_count += 1;
        if state.fault().swap_after_chunks.is_some_and(|after| chunk_count == after) {
            state.version.fetch_add(1, Ordering::SeqCst);
        }
        if fault.cut_streams > 0 && chunk_count > 1 {
            return;
        }
        let chunk = build_chunk(&state, &id, tokens, generated_tokens, total_tokens);
        if sender.send(Some(chunk)).await.is_err() {
            return;
        }
    }
    // Fails if the reader has closed the connection, in which case no one needs the end of the stream.
    let _ = sender.send(None).await;
}

/// Builds a chunk of `tokens` tokens. `generated_tokens` includes them; the last chunk carries the token usage.
fn build_chunk(state: &EngineState, id: &str, tokens: u32, generated_tokens: u32, total_tokens: u32) -> StreamChunk {
    let version = state.version.load(Ordering::SeqCst);
    let content: String = (0..tokens).map(|_| format!("w{version} ")).collect();
    let is_last = generated_tokens >= total_tokens;
    StreamChunk {
        id: id.to_owned(),
        choices: vec![Choice { delta: ChoiceDelta { content }, finish_reason: is_last.then(|| "stop".to_owned()) }],
        weight_version: (!state.fault().omit_version).then_some(version),
        tokens,
        usage: is_last.then_some(TokenUsage { prompt_tokens: 1, completion_tokens: u64::from(total_tokens) }),
    }
}

/// Sleeps for `us` microseconds. Durations below one millisecond, the resolution of the timer, are skipped.
async fn sleep_us(us: u64) {
    if us >= US_PER_MS {
        tokio::time::sleep(Duration::from_micros(us)).await;
    }
}

/// Returns the load report of the engine.
async fn report_load(state: web::Data<EngineState>) -> HttpResponse {
    let (running, waiting) = state.slots.running_and_waiting();
    HttpResponse::Ok().json(LoadReport {
        running: running as u64,
        waiting: waiting as u64,
        version: Some(state.version.load(Ordering::SeqCst)),
        leaving: state.fault().leaving,
    })
}

/// Records an order to load weights and raises the weight version to the ordered one.
async fn load_weights(state: web::Data<EngineState>, order: web::Json<LoadOrder>) -> HttpResponse {
    state.load_orders.lock().unwrap_or_else(PoisonError::into_inner).push(*order);
    let max_fencing = state.max_fencing.fetch_max(order.fencing, Ordering::SeqCst);
    if state.checks_fencing && order.fencing < max_fencing {
        return HttpResponse::Conflict().finish();
    }
    if state.fault().fail_swap {
        return HttpResponse::InternalServerError().finish();
    }
    state.version.fetch_max(order.version, Ordering::SeqCst);
    HttpResponse::NoContent().finish()
}

async fn set_fault(state: web::Data<EngineState>, fault: web::Json<EngineFault>) -> HttpResponse {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault.into_inner();
    HttpResponse::NoContent().finish()
}

async fn list_requests(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.requests.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn count_refused(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.refused_count.load(Ordering::SeqCst))
}

async fn list_load_orders(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.load_orders.lock().unwrap_or_else(PoisonError::into_inner))
}
