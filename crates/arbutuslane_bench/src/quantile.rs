//! Quantiles of sorted values.

/// Returns the value of nearest rank in ascending `values`, or `None` if there are none.
pub(crate) fn nearest_rank<T: Copy>(values: &[T], quantile: f64) -> Option<T> {
    let last = values.len().checked_sub(1)? as f64;
    let rank = (last * quantile).round();
    let mut ranked = (0_u32..).zip(values);
    ranked.find(|(index, _)| f64::from(*index) >= rank).map(|(_, value)| *value)
}
