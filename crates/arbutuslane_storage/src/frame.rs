//! The encoding of records in a segment.
//!
//! A record is a length, a CRC-32C of the length and the body, and a body. The body starts with the
//! number of the batch with which the record was synced and the number of records that follow in
//! that batch. Recovery needs both to decide whether an unreadable record was ever acknowledged.

use crate::log::Entry;

/// The number of bytes before the body: length and checksum.
const HEADER_BYTES: usize = 8;
/// The number of bytes at the start of the body before the fields of the record kind: batch,
/// remaining and kind.
const BODY_HEADER_BYTES: usize = 13;
/// The maximum length of a body. A larger length is treated as corruption, since no message of the
/// operator API creates such an entry.
const MAX_BODY_BYTES: usize = 256 << 20;

const KIND_META: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_RESET: u8 = 3;

/// The content of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Record {
    /// Metadata, which replaces any earlier metadata.
    Meta(Vec<u8>),
    /// An entry, which replaces any earlier entry with its index and all entries after that one.
    Entry(Entry),
    /// Discards all entries before this record.
    Reset,
}

/// A decoded record and its position in its batch.
#[derive(Debug)]
pub(crate) struct Frame {
    /// The number of the batch.
    pub(crate) batch: u64,
    /// The number of records that follow in the batch.
    pub(crate) remaining: u32,
    pub(crate) record: Record,
    /// The length of the encoded record in bytes.
    pub(crate) length: usize,
}

/// Appends the encoded record to `out`.
pub(crate) fn encode(out: &mut Vec<u8>, batch: u64, remaining: u32, record: &Record) {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    out.extend_from_slice(&batch.to_le_bytes());
    out.extend_from_slice(&remaining.to_le_bytes());
    match record {
        Record::Meta(meta) => {
            out.push(KIND_META);
            out.extend_from_slice(meta);
        }
        Record::Entry(entry) => {
            out.push(KIND_ENTRY);
            out.extend_from_slice(&entry.index.to_le_bytes());
            out.extend_from_slice(&entry.term.to_le_bytes());
            out.extend_from_slice(&entry.payload);
        }
        Record::Reset => out.push(KIND_RESET),
    }
    let length = u32::try_from(out.len() - start - HEADER_BYTES).unwrap_or(u32::MAX).to_le_bytes();
    let checksum =
        crc32c::crc32c_append(crc32c::crc32c(&length), &out[start + HEADER_BYTES..]).to_le_bytes();
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum);
}

/// Decodes the record at the start of `bytes`, or returns the reason why it is unreadable.
pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, &'static str> {
    let (length, rest) = split_array::<4>(bytes).ok_or("incomplete record header")?;
    let (checksum, rest) = split_array::<4>(rest).ok_or("incomplete record header")?;
    let body_length = u32::from_le_bytes(length) as usize;
    if !(BODY_HEADER_BYTES..=MAX_BODY_BYTES).contains(&body_length) {
        return Err("record length out of range");
    }
    let body = rest.get(..body_length).ok_or("record extends beyond the end of the file")?;
    if crc32c::crc32c_append(crc32c::crc32c(&length), body) != u32::from_le_bytes(checksum) {
        return Err("checksum mismatch");
    }
    let (batch, fields) = split_array::<8>(body).ok_or("incomplete record")?;
    let (remaining, fields) = split_array::<4>(fields).ok_or("incomplete record")?;
    let (kind, fields) = split_array::<1>(fields).ok_or("incomplete record")?;
    let record = match kind[0] {
        KIND_META => Record::Meta(fields.to_vec()),
        KIND_ENTRY => {
            let (index, fields) = split_array::<8>(fields).ok_or("incomplete entry")?;
            let (term, fields) = split_array::<8>(fields).ok_or("incomplete entry")?;
            Record::Entry(Entry {
                index: u64::from_le_bytes(index),
                term: u64::from_le_bytes(term),
                payload: fields.to_vec(),
            })
        }
        KIND_RESET => Record::Reset,
        _ => return Err("unknown record kind"),
    };
    Ok(Frame {
        batch: u64::from_le_bytes(batch),
        remaining: u32::from_le_bytes(remaining),
        record,
        length: HEADER_BYTES + body.len(),
    })
}

/// Splits `N` bytes off the start of `bytes`.
pub(crate) fn split_array<const N: usize>(bytes: &[u8]) -> Option<([u8; N], &[u8])> {
    let (array, rest) = bytes.split_at_checked(N)?;
    Some((array.try_into().ok()?, rest))
}
