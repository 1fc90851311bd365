package org.arbutusrelay.standin

internal const val MODULE_NAME: String = "standin"
