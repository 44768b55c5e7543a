package operator

// Bundles is the life cycle of configuration bundles.
type Bundles interface{}

func (s *Server) routeBundles() {}
