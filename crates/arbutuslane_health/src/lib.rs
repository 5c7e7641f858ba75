//! Outlier detection against peers, ejection permits and return by trial.
