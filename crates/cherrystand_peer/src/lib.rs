//! Messages between daemons, and the transport that carries them.
//!
//! Messages are `postcard` over `nng` requests and replies. See docs/design/0006 for what is
//! exchanged and why.

mod change_batch;
mod change_news;
mod load_news;
mod message;
mod packed_body;
mod transport;
mod versions;

pub use change_batch::{BatchSpan, ChangeBatches, PackedBatch};
pub use change_news::{ChangeCursor, ChangeNews, ChangeQuestion};
pub use load_news::LoadNews;
pub use message::{
    Carried, CodecError, Greeting, News, PROTOCOL, Question, Reply, decode, decode_compressed,
    encode, encode_compressed,
};
pub use packed_body::{LARGEST_BODY, PackError, PackedBody, UnpackError};
pub use transport::{ANSWER_WITHIN, MAX_MESSAGE_BYTES, PeerDialer, PeerError, PeerListener};
pub use versions::Versions;
