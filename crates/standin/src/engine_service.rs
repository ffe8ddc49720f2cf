//! The engine stand-in: continuous batching slots, prefix cache, priorities, weight versions.

use crate::{
    EngineFault, EngineSettings, EngineSimulator, RecordedRequest, Result, RunningStandin, running::start,
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

const SEEN_MAX: usize = 10_000;
const DEFAULT_PRIORITY: u32 = 100;
const DEFAULT_MAX_TOKENS: u32 = 256;
const CHUNKS_AHEAD: usize = 64;
const CRASH_STATUS: i32 = 86;
const US_PER_MS: u64 = 1_000;

struct EngineState {
    model: EngineSimulator,
    slots: SlotQueue,
    version: AtomicU64,
    fencing: AtomicU64,
    checks_fencing: bool,
    fault: Mutex<EngineFault>,
    seen: Mutex<Vec<RecordedRequest>>,
    orders: Mutex<Vec<LoadOrder>>,
}

impl EngineState {
    fn fault(&self) -> EngineFault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn take_fault(&self) -> EngineFault {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let now = fault.clone();
        fault.wrong_request_ids = fault.wrong_request_ids.saturating_sub(1);
        fault.cut_streams = fault.cut_streams.saturating_sub(1);
        now
    }
}

/// Starts the stand-in on `listen`.
pub fn start_engine(listen: &str, settings: EngineSettings, checks_fencing: bool) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(EngineState {
        model: EngineSimulator::new(settings),
        slots: SlotQueue::new(settings.slots),
        version: AtomicU64::new(settings.initial_version),
        fencing: AtomicU64::new(0),
        checks_fencing,
        fault: Mutex::default(),
        seen: Mutex::default(),
        orders: Mutex::default(),
    }));
    start!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
            .route("/load", web::get().to(load))
            .route("/orders/load", web::put().to(load_weights))
            .route("/standin/fault", web::put().to(set_fault))
            .route("/standin/seen", web::get().to(seen))
            .route("/standin/orders", web::get().to(orders))
    })
}

async fn complete(state: web::Data<EngineState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let seen = RecordedRequest::from_request(&request, &body);
    let fault = state.take_fault();
    let id = seen.header(REQUEST_ID_HEADER).to_owned();
    if fault.leaving {
        return HttpResponse::ServiceUnavailable()
            .insert_header((REQUEST_ID_HEADER, id))
            .insert_header((RUN_STATE_HEADER, NOT_RUN))
            .finish();
    }
    let Ok(question) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return HttpResponse::BadRequest().insert_header((REQUEST_ID_HEADER, id)).finish();
    };
    let prompt = prompt_of(&question);
    if fault.crash_on.as_ref().is_some_and(|text| prompt.contains(text.as_str())) {
        std::process::exit(CRASH_STATUS);
    }
    let priority = seen.header(PRIORITY_HEADER).parse().unwrap_or(DEFAULT_PRIORITY);
    {
        let mut all = state.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() < SEEN_MAX {
            all.push(seen);
        }
    }
    let answered = if fault.wrong_request_ids > 0 { "another-request".to_owned() } else { id.clone() };
    let (sender, receiver) = mpsc::channel(CHUNKS_AHEAD);
    let streamed = question.stream;
    actix_web::rt::spawn(generate(state.into_inner(), question, prompt, priority, id, fault, sender));
    if streamed {
        let body = futures_util::stream::unfold(receiver, |mut receiver| async move {
            let chunk = receiver.recv().await?;
            Some((Ok::<_, io::Error>(event(&chunk)), receiver))
        });
        return HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, answered))
            .content_type("text/event-stream")
            .streaming(body);
    }
    let whole = collect(receiver).await;
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, answered)).json(whole)
}

/// A chunk, or the end of the stream.
type Item = Option<StreamChunk>;

fn event(item: &Item) -> Bytes {
    match item {
        Some(chunk) => format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default()).into(),
        None => Bytes::from_static(b"data: [DONE]\n\n"),
    }
}

async fn collect(mut receiver: mpsc::Receiver<Item>) -> serde_json::Value {
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

fn prompt_of(question: &CompletionRequest) -> String {
    let chat: Vec<&str> = question.messages.iter().map(|message| message.content.as_str()).collect();
    question.prompt.clone().unwrap_or_else(|| chat.join("\n"))
}

async fn generate(
    state: Arc<EngineState>,
    question: CompletionRequest,
    prompt: String,
    priority: u32,
    id: String,
    fault: EngineFault,
    sender: mpsc::Sender<Item>,
) {
    let _slot = state.slots.enter(priority).await;
    let settings = state.model.settings();
    pause(state.model.prefill_us(&prompt)).await;
    let total = state.model.answer_tokens(
        &prompt,
        question.seed.unwrap_or(0),
        question.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    );
    let mut made = 0;
    let mut chunks = 0;
    while made < total {
        let tokens = settings.chunk_tokens.min(total - made);
        pause(settings.token_us * u64::from(tokens)).await;
        made += tokens;
        chunks += 1;
        if state.fault().swap_after_chunks.is_some_and(|after| chunks == after) {
            state.version.fetch_add(1, Ordering::SeqCst);
        }
        if fault.cut_streams > 0 && chunks > 1 {
            return;
        }
        let chunk = chunk(&state, &id, tokens, made, total);
        if sender.send(Some(chunk)).await.is_err() {
            return;
        }
    }
    // The reader may be gone, which ends the answer as well.
    let _ = sender.send(None).await;
}

fn chunk(state: &EngineState, id: &str, tokens: u32, made: u32, total: u32) -> StreamChunk {
    let version = state.version.load(Ordering::SeqCst);
    let content: String = (0..tokens).map(|_| format!("w{version} ")).collect();
    let finished = made >= total;
    StreamChunk {
        id: id.to_owned(),
        choices: vec![Choice { delta: ChoiceDelta { content }, finish_reason: finished.then(|| "stop".to_owned()) }],
        weight_version: (!state.fault().omit_version).then_some(version),
        tokens,
        usage: finished.then_some(TokenUsage { prompt_tokens: 1, completion_tokens: u64::from(total) }),
    }
}

async fn pause(us: u64) {
    if us >= US_PER_MS {
        tokio::time::sleep(Duration::from_micros(us)).await;
    }
}

async fn load(state: web::Data<EngineState>) -> HttpResponse {
    let (running, waiting) = state.slots.load();
    HttpResponse::Ok().json(LoadReport {
        running: running as u64,
        waiting: waiting as u64,
        version: Some(state.version.load(Ordering::SeqCst)),
        leaving: state.fault().leaving,
    })
}

async fn load_weights(state: web::Data<EngineState>, order: web::Json<LoadOrder>) -> HttpResponse {
    state.orders.lock().unwrap_or_else(PoisonError::into_inner).push(*order);
    let newest = state.fencing.fetch_max(order.fencing, Ordering::SeqCst);
    if state.checks_fencing && order.fencing < newest {
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

async fn seen(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.seen.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn orders(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.orders.lock().unwrap_or_else(PoisonError::into_inner))
}
