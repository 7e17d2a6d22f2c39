//! The published figures of a model engine, and what they predict.

use crate::Millis;

/// Describes a model that an engine can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: String,
    /// How many boxes one replica spans.
    pub span: u32,
    /// The factor on all its times.
    pub time_factor: f64,
    /// Its part of the work.
    pub work_share: f64,
    /// How long a load from the weight store takes.
    pub load_time: Millis,
    /// How long a load from the box's own host takes.
    pub host_load_time: Millis,
}

/// Describes the engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one replica works on at a time.
    pub slots: u32,
    /// Steps in a pass that has writers.
    pub steps_per_pass: u32,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Milliseconds more for each writing request.
    pub per_request_ms: f64,
    /// Milliseconds more for each 1,000 tokens of context.
    pub context_ms_per_k: f64,
    /// The most prompt tokens read in one step.
    pub prefill_chunk: u32,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for each million pairs of a token and a token before it.
    pub attention_ms_per_m_pairs: f64,
    /// The factor on the pace of a replica that spans domains.
    pub cross_domain_factor: f64,
    /// How long a replica takes to open.
    pub formation_time: Millis,
    /// Loads from the weight store that may begin each second.
    pub loads_per_s: f64,
    /// Loads from the weight store that run at full speed together.
    pub loads_at_once: u32,
    /// The usual tokens of a prompt.
    pub typical_prompt_tokens: f64,
    /// The usual tokens of an answer.
    pub typical_answer_tokens: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

/// What a replica is busy with, as far as one node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in flight.
    pub requests: f64,
    /// Tokens of prompts that have yet to be read.
    pub unread: f64,
}

impl EngineSpec {
    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the milliseconds of one step at a number of writing requests.
    pub fn step_time(&self, decoding: f64) -> f64 {
        let context =
            decoding * (self.typical_prompt_tokens + self.typical_answer_tokens / 2.0) / 1_000.0;
        self.step_ms + self.per_request_ms * decoding + self.context_ms_per_k * context
    }

    /// Returns the share of its full rate at which a replica works that has so many requests in
    /// flight; more than it has slots count as more than its full rate.
    pub fn utilisation(&self, requests: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        if requests >= slots {
            return requests / slots;
        }
        requests / self.step_time(requests) * self.step_time(slots) / slots
    }

    /// Returns the milliseconds that reading a prompt takes by itself.
    pub fn prefill_time(&self, tokens: f64) -> f64 {
        let million_pairs = tokens * tokens / 2.0 / 1_000_000.0;
        tokens / self.prefill_tokens_per_s * 1_000.0 + million_pairs * self.attention_ms_per_m_pairs
    }

    /// Returns the milliseconds between two events of a stream while nothing is read.
    pub fn pass_time(&self, model: &ModelSpec, decoding: f64) -> f64 {
        f64::from(self.steps_per_pass) * self.step_time(decoding) * model.time_factor
    }

    /// Returns the longest silence, in milliseconds, of a replica that works on a load.
    ///
    /// All of its streams write in each pass, so that it is never silent for much longer than
    /// one that also reads everything that waits, up to a chunk a step.
    pub fn max_silence(&self, model: &ModelSpec, load: EngineLoad) -> f64 {
        let tokens_per_pass = f64::from(self.steps_per_pass * self.prefill_chunk);
        let prefill =
            self.prefill_time(self.typical_prompt_tokens) / self.typical_prompt_tokens.max(1.0);
        let prefill = prefill * load.unread.min(tokens_per_pass) * model.time_factor;
        2.0 * self.pass_time(model, f64::from(self.slots)) + prefill
    }

    /// Predicts the milliseconds until the first token of a prompt sent now.
    ///
    /// A prompt waits for half of the pass under way on average, is read together with those
    /// that wait before it, and its first token comes within the pass after that. Requests beyond
    /// the slots wait for others to end.
    pub fn first_token_time(&self, model: &ModelSpec, load: EngineLoad, prompt: f64) -> f64 {
        let decoding = load.requests.min(f64::from(self.slots));
        let pass_wait = 1.5 * self.pass_time(model, decoding);
        let prefill =
            (self.prefill_time(load.unread) + self.prefill_time(prompt)) * model.time_factor;
        let waiting = (load.requests + 1.0 - f64::from(self.slots)).max(0.0);
        let answer = self.typical_answer_tokens * self.step_time(decoding) * model.time_factor;
        pass_wait + prefill + waiting / f64::from(self.slots.max(1)) * answer
    }
}
