//! The form of one record in a segment.
//!
//! A record is a length, a CRC-32C and a body. The body starts with the number of the batch that
//! the record was synced with and the count of records that follow in that batch. Recovery needs
//! both to decide whether an unreadable record was ever acknowledged.

use crate::log::Entry;

/// Bytes before the body: length and checksum.
const HEAD: usize = 8;
/// Bytes of the body before the record's own fields: batch, remaining and kind.
const BODY_HEAD: usize = 13;
/// Larger lengths are taken for garbage; no message of the operator API makes such an entry.
const BODY_MAX: usize = 256 << 20;

const KIND_META: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_RESET: u8 = 3;

/// The content of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Record {
    /// The metadata from here on.
    Meta(Vec<u8>),
    /// An entry; it replaces any earlier one of its index and all that followed that one.
    Entry(Entry),
    /// The entries before this record are void.
    Reset,
}

/// A record with its place in its batch.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) batch: u64,
    pub(crate) remaining: u32,
    pub(crate) record: Record,
    /// The bytes that the frame takes in the segment.
    pub(crate) length: usize,
}

/// Appends the encoded record to `out`.
pub(crate) fn encode(out: &mut Vec<u8>, batch: u64, remaining: u32, record: &Record) {
    let start = out.len();
    out.extend_from_slice(&[0; HEAD]);
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
    let length = u32::try_from(out.len() - start - HEAD).unwrap_or(u32::MAX).to_le_bytes();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&length), &out[start + HEAD..]).to_le_bytes();
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + HEAD].copy_from_slice(&sum);
}

/// Decodes the record at the start of `bytes`, or returns why there is none.
pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, &'static str> {
    let (length, rest) = take::<4>(bytes).ok_or("short record head")?;
    let (sum, rest) = take::<4>(rest).ok_or("short record head")?;
    let body = u32::from_le_bytes(length) as usize;
    if !(BODY_HEAD..=BODY_MAX).contains(&body) {
        return Err("impossible record length");
    }
    let body = rest.get(..body).ok_or("record longer than its file")?;
    if crc32c::crc32c_append(crc32c::crc32c(&length), body) != u32::from_le_bytes(sum) {
        return Err("checksum mismatch");
    }
    let (batch, fields) = take::<8>(body).ok_or("short record")?;
    let (remaining, fields) = take::<4>(fields).ok_or("short record")?;
    let (kind, fields) = take::<1>(fields).ok_or("short record")?;
    let record = match kind[0] {
        KIND_META => Record::Meta(fields.to_vec()),
        KIND_ENTRY => {
            let (index, fields) = take::<8>(fields).ok_or("short entry")?;
            let (term, fields) = take::<8>(fields).ok_or("short entry")?;
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
        length: HEAD + body.len(),
    })
}

/// Splits `N` bytes off the start of `bytes`.
pub(crate) fn take<const N: usize>(bytes: &[u8]) -> Option<([u8; N], &[u8])> {
    let (head, rest) = bytes.split_at_checked(N)?;
    Some((head.try_into().ok()?, rest))
}
