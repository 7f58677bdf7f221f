"""Operations of the operators' interface, by subject."""
