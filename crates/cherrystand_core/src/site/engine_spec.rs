//! The published figures of a model engine, and the times predicted from them.

use crate::Millis;

/// A model that an engine can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: String,
    /// How many boxes one replica spans.
    pub span: u32,
    /// The factor on all processing times of the model.
    pub time_factor: f64,
    /// Its configured share of the work.
    pub work_share: f64,
    /// How long a load from the weight store takes.
    pub load_time: Millis,
    /// How long a load from the box's own host takes.
    pub host_load_time: Millis,
}

/// The engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// How many requests one replica processes at a time.
    pub slots: u32,
    /// The steps of a pass while requests are being decoded.
    pub steps_per_pass: u32,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Additional milliseconds for each request being decoded.
    pub per_request_ms: f64,
    /// Additional milliseconds for each 1,000 tokens of context.
    pub context_ms_per_k: f64,
    /// The most prompt tokens read in one step.
    pub prefill_chunk: u32,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for each million pairs of a token and an earlier one.
    pub attention_ms_per_m_pairs: f64,
    /// The factor on the times of a replica that spans domains.
    pub cross_domain_factor: f64,
    /// How long a replica takes to open.
    pub formation_time: Millis,
    /// How many loads from the weight store may start per second.
    pub loads_per_s: f64,
    /// How many concurrent loads from the weight store run at full speed.
    pub loads_at_once: u32,
    /// The tokens of a typical prompt.
    pub typical_prompt_tokens: f64,
    /// The tokens of a typical answer.
    pub typical_answer_tokens: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

/// The load of a replica, as far as one node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in flight.
    pub requests: f64,
    /// Prompt tokens that the engine has yet to read.
    pub unread: f64,
}

impl EngineSpec {
    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the milliseconds of one step while this many requests are being decoded.
    pub fn step_time(&self, decoding: f64) -> f64 {
        let context =
            decoding * (self.typical_prompt_tokens + self.typical_answer_tokens / 2.0) / 1_000.0;
        self.step_ms + self.per_request_ms * decoding + self.context_ms_per_k * context
    }

    /// Returns the fraction of its full rate at which a replica works with this many requests in
    /// flight.
    ///
    /// More requests than slots give more than 1.
    pub fn utilisation(&self, requests: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        if requests >= slots {
            return requests / slots;
        }
        requests / self.step_time(requests) * self.step_time(slots) / slots
    }

    /// Returns the milliseconds it takes to read a prompt by itself.
    pub fn prefill_time(&self, tokens: f64) -> f64 {
        let million_pairs = tokens * tokens / 2.0 / 1_000_000.0;
        tokens / self.prefill_tokens_per_s * 1_000.0 + million_pairs * self.attention_ms_per_m_pairs
    }

    /// Returns the milliseconds between two events of a stream while no prompt is read.
    pub fn pass_time(&self, model: &ModelSpec, decoding: f64) -> f64 {
        f64::from(self.steps_per_pass) * self.step_time(decoding) * model.time_factor
    }

    /// Returns the longest time, in milliseconds, for which a replica under load is silent.
    ///
    /// All of its streams advance in each pass, so that it is silent for not much longer than a
    /// pass that also reads all waiting prompts, up to a chunk per step.
    pub fn max_silence(&self, model: &ModelSpec, load: EngineLoad) -> f64 {
        let tokens_per_pass = f64::from(self.steps_per_pass * self.prefill_chunk);
        let prefill =
            self.prefill_time(self.typical_prompt_tokens) / self.typical_prompt_tokens.max(1.0);
        let prefill = prefill * load.unread.min(tokens_per_pass) * model.time_factor;
        2.0 * self.pass_time(model, f64::from(self.slots)) + prefill
    }

    /// Predicts the milliseconds until the first token of a prompt sent now.
    ///
    /// On average a prompt waits for half of the current pass, is read together with those that
    /// wait before it, and its first token comes within the pass after that. Requests beyond the
    /// slots wait for others to end.
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
