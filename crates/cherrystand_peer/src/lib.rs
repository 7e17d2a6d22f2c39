//! Messages between daemons, and their transport.
//!
//! Messages are encoded with `postcard` and sent as `nng` requests and replies. See docs/design/0006
//! for what is exchanged and why.

mod carrying;
mod change_update;
mod config_history;
mod load_message;
mod message;
mod packed_batch;
mod packed_body;
mod transport;

pub use carrying::{CARRY_AGAIN, CARRY_END, CARRY_TO, CarryEnd, REACH_PATH, ReachQuery};
pub use change_update::{ChangeCursor, ChangeRequest, ChangeUpdate};
pub use config_history::ConfigHistory;
pub use load_message::LoadMessage;
pub use message::{
    CodecError, Greeting, News, PROTOCOL, Question, Reply, TransferredRecord, decode,
    decode_compressed, encode, encode_compressed,
};
pub use packed_batch::{BatchCache, BatchSpan, PackedBatch};
pub use packed_body::{MAX_BODY_BYTES, PackError, PackedBody, UnpackError};
pub use transport::{ANSWER_TIMEOUT, MAX_MESSAGE_BYTES, PeerDialer, PeerError, PeerListener};
