package org.arbutuslock.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every node. Viewers may call the methods that only read, operators all methods.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class OperatorsGrpc {

  private OperatorsGrpc() {}

  public static final java.lang.String SERVICE_NAME = "arbutuslock.v1.Operators";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.ApplyChangeRequest,
      org.arbutuslock.v1.ApplyChangeResponse> getApplyChangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ApplyChange",
      requestType = org.arbutuslock.v1.ApplyChangeRequest.class,
      responseType = org.arbutuslock.v1.ApplyChangeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.ApplyChangeRequest,
      org.arbutuslock.v1.ApplyChangeResponse> getApplyChangeMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.ApplyChangeRequest, org.arbutuslock.v1.ApplyChangeResponse> getApplyChangeMethod;
    if ((getApplyChangeMethod = OperatorsGrpc.getApplyChangeMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getApplyChangeMethod = OperatorsGrpc.getApplyChangeMethod) == null) {
          OperatorsGrpc.getApplyChangeMethod = getApplyChangeMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.ApplyChangeRequest, org.arbutuslock.v1.ApplyChangeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ApplyChange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.ApplyChangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.ApplyChangeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("ApplyChange"))
              .build();
        }
      }
    }
    return getApplyChangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.GetChangeRequest,
      org.arbutuslock.v1.GetChangeResponse> getGetChangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetChange",
      requestType = org.arbutuslock.v1.GetChangeRequest.class,
      responseType = org.arbutuslock.v1.GetChangeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.GetChangeRequest,
      org.arbutuslock.v1.GetChangeResponse> getGetChangeMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.GetChangeRequest, org.arbutuslock.v1.GetChangeResponse> getGetChangeMethod;
    if ((getGetChangeMethod = OperatorsGrpc.getGetChangeMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getGetChangeMethod = OperatorsGrpc.getGetChangeMethod) == null) {
          OperatorsGrpc.getGetChangeMethod = getGetChangeMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.GetChangeRequest, org.arbutuslock.v1.GetChangeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetChange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetChangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetChangeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("GetChange"))
              .build();
        }
      }
    }
    return getGetChangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.GetConfigurationRequest,
      org.arbutuslock.v1.GetConfigurationResponse> getGetConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetConfiguration",
      requestType = org.arbutuslock.v1.GetConfigurationRequest.class,
      responseType = org.arbutuslock.v1.GetConfigurationResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.GetConfigurationRequest,
      org.arbutuslock.v1.GetConfigurationResponse> getGetConfigurationMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.GetConfigurationRequest, org.arbutuslock.v1.GetConfigurationResponse> getGetConfigurationMethod;
    if ((getGetConfigurationMethod = OperatorsGrpc.getGetConfigurationMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getGetConfigurationMethod = OperatorsGrpc.getGetConfigurationMethod) == null) {
          OperatorsGrpc.getGetConfigurationMethod = getGetConfigurationMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.GetConfigurationRequest, org.arbutuslock.v1.GetConfigurationResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetConfigurationResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("GetConfiguration"))
              .build();
        }
      }
    }
    return getGetConfigurationMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.HistoryRequest,
      org.arbutuslock.v1.HistoryResponse> getHistoryMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "History",
      requestType = org.arbutuslock.v1.HistoryRequest.class,
      responseType = org.arbutuslock.v1.HistoryResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.HistoryRequest,
      org.arbutuslock.v1.HistoryResponse> getHistoryMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.HistoryRequest, org.arbutuslock.v1.HistoryResponse> getHistoryMethod;
    if ((getHistoryMethod = OperatorsGrpc.getHistoryMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getHistoryMethod = OperatorsGrpc.getHistoryMethod) == null) {
          OperatorsGrpc.getHistoryMethod = getHistoryMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.HistoryRequest, org.arbutuslock.v1.HistoryResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "History"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.HistoryRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.HistoryResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("History"))
              .build();
        }
      }
    }
    return getHistoryMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.RollbackRequest,
      org.arbutuslock.v1.RollbackResponse> getRollbackMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Rollback",
      requestType = org.arbutuslock.v1.RollbackRequest.class,
      responseType = org.arbutuslock.v1.RollbackResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.RollbackRequest,
      org.arbutuslock.v1.RollbackResponse> getRollbackMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.RollbackRequest, org.arbutuslock.v1.RollbackResponse> getRollbackMethod;
    if ((getRollbackMethod = OperatorsGrpc.getRollbackMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getRollbackMethod = OperatorsGrpc.getRollbackMethod) == null) {
          OperatorsGrpc.getRollbackMethod = getRollbackMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.RollbackRequest, org.arbutuslock.v1.RollbackResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Rollback"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.RollbackRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.RollbackResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("Rollback"))
              .build();
        }
      }
    }
    return getRollbackMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.WatchRevisionRequest,
      org.arbutuslock.v1.WatchRevisionResponse> getWatchRevisionMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "WatchRevision",
      requestType = org.arbutuslock.v1.WatchRevisionRequest.class,
      responseType = org.arbutuslock.v1.WatchRevisionResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.WatchRevisionRequest,
      org.arbutuslock.v1.WatchRevisionResponse> getWatchRevisionMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.WatchRevisionRequest, org.arbutuslock.v1.WatchRevisionResponse> getWatchRevisionMethod;
    if ((getWatchRevisionMethod = OperatorsGrpc.getWatchRevisionMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getWatchRevisionMethod = OperatorsGrpc.getWatchRevisionMethod) == null) {
          OperatorsGrpc.getWatchRevisionMethod = getWatchRevisionMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.WatchRevisionRequest, org.arbutuslock.v1.WatchRevisionResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "WatchRevision"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.WatchRevisionRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.WatchRevisionResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("WatchRevision"))
              .build();
        }
      }
    }
    return getWatchRevisionMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.GetStatusRequest,
      org.arbutuslock.v1.GetStatusResponse> getGetStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetStatus",
      requestType = org.arbutuslock.v1.GetStatusRequest.class,
      responseType = org.arbutuslock.v1.GetStatusResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.GetStatusRequest,
      org.arbutuslock.v1.GetStatusResponse> getGetStatusMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.GetStatusRequest, org.arbutuslock.v1.GetStatusResponse> getGetStatusMethod;
    if ((getGetStatusMethod = OperatorsGrpc.getGetStatusMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getGetStatusMethod = OperatorsGrpc.getGetStatusMethod) == null) {
          OperatorsGrpc.getGetStatusMethod = getGetStatusMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.GetStatusRequest, org.arbutuslock.v1.GetStatusResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetStatus"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetStatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.GetStatusResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("GetStatus"))
              .build();
        }
      }
    }
    return getGetStatusMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.ExplainRequest,
      org.arbutuslock.v1.ExplainResponse> getExplainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Explain",
      requestType = org.arbutuslock.v1.ExplainRequest.class,
      responseType = org.arbutuslock.v1.ExplainResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.ExplainRequest,
      org.arbutuslock.v1.ExplainResponse> getExplainMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.ExplainRequest, org.arbutuslock.v1.ExplainResponse> getExplainMethod;
    if ((getExplainMethod = OperatorsGrpc.getExplainMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getExplainMethod = OperatorsGrpc.getExplainMethod) == null) {
          OperatorsGrpc.getExplainMethod = getExplainMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.ExplainRequest, org.arbutuslock.v1.ExplainResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Explain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.ExplainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.ExplainResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("Explain"))
              .build();
        }
      }
    }
    return getExplainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.DrainRequest,
      org.arbutuslock.v1.DrainResponse> getDrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Drain",
      requestType = org.arbutuslock.v1.DrainRequest.class,
      responseType = org.arbutuslock.v1.DrainResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.DrainRequest,
      org.arbutuslock.v1.DrainResponse> getDrainMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.DrainRequest, org.arbutuslock.v1.DrainResponse> getDrainMethod;
    if ((getDrainMethod = OperatorsGrpc.getDrainMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getDrainMethod = OperatorsGrpc.getDrainMethod) == null) {
          OperatorsGrpc.getDrainMethod = getDrainMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.DrainRequest, org.arbutuslock.v1.DrainResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Drain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.DrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.DrainResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("Drain"))
              .build();
        }
      }
    }
    return getDrainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.UndrainRequest,
      org.arbutuslock.v1.UndrainResponse> getUndrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Undrain",
      requestType = org.arbutuslock.v1.UndrainRequest.class,
      responseType = org.arbutuslock.v1.UndrainResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.UndrainRequest,
      org.arbutuslock.v1.UndrainResponse> getUndrainMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.UndrainRequest, org.arbutuslock.v1.UndrainResponse> getUndrainMethod;
    if ((getUndrainMethod = OperatorsGrpc.getUndrainMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getUndrainMethod = OperatorsGrpc.getUndrainMethod) == null) {
          OperatorsGrpc.getUndrainMethod = getUndrainMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.UndrainRequest, org.arbutuslock.v1.UndrainResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Undrain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.UndrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.UndrainResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("Undrain"))
              .build();
        }
      }
    }
    return getUndrainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.v1.TopRequest,
      org.arbutuslock.v1.TopResponse> getTopMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Top",
      requestType = org.arbutuslock.v1.TopRequest.class,
      responseType = org.arbutuslock.v1.TopResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.v1.TopRequest,
      org.arbutuslock.v1.TopResponse> getTopMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.v1.TopRequest, org.arbutuslock.v1.TopResponse> getTopMethod;
    if ((getTopMethod = OperatorsGrpc.getTopMethod) == null) {
      synchronized (OperatorsGrpc.class) {
        if ((getTopMethod = OperatorsGrpc.getTopMethod) == null) {
          OperatorsGrpc.getTopMethod = getTopMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.v1.TopRequest, org.arbutuslock.v1.TopResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Top"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.TopRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.v1.TopResponse.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorsMethodDescriptorSupplier("Top"))
              .build();
        }
      }
    }
    return getTopMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static OperatorsStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorsStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorsStub>() {
        @java.lang.Override
        public OperatorsStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorsStub(channel, callOptions);
        }
      };
    return OperatorsStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static OperatorsBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorsBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorsBlockingV2Stub>() {
        @java.lang.Override
        public OperatorsBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorsBlockingV2Stub(channel, callOptions);
        }
      };
    return OperatorsBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static OperatorsBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorsBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorsBlockingStub>() {
        @java.lang.Override
        public OperatorsBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorsBlockingStub(channel, callOptions);
        }
      };
    return OperatorsBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static OperatorsFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorsFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorsFutureStub>() {
        @java.lang.Override
        public OperatorsFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorsFutureStub(channel, callOptions);
        }
      };
    return OperatorsFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Validates one change and appends it to the change log.
     * </pre>
     */
    default void applyChange(org.arbutuslock.v1.ApplyChangeRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.ApplyChangeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getApplyChangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the outcome of a change: accepted, or not in the change log.
     * </pre>
     */
    default void getChange(org.arbutuslock.v1.GetChangeRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetChangeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetChangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists the configured entities of one kind.
     * </pre>
     */
    default void getConfiguration(org.arbutuslock.v1.GetConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetConfigurationResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetConfigurationMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists accepted changes, newest first.
     * </pre>
     */
    default void history(org.arbutuslock.v1.HistoryRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.HistoryResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHistoryMethod(), responseObserver);
    }

    /**
     * <pre>
     * Restores the entities of an earlier revision with a new change.
     * </pre>
     */
    default void rollback(org.arbutuslock.v1.RollbackRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.RollbackResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRollbackMethod(), responseObserver);
    }

    /**
     * <pre>
     * Reports how many nodes have applied a revision. The stream ends when all have applied it.
     * </pre>
     */
    default void watchRevision(org.arbutuslock.v1.WatchRevisionRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.WatchRevisionResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWatchRevisionMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists nodes and their endpoints.
     * </pre>
     */
    default void getStatus(org.arbutuslock.v1.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetStatusResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetStatusMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists the recent decisions about one backend server and the measurements behind them.
     * </pre>
     */
    default void explain(org.arbutuslock.v1.ExplainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.ExplainResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExplainMethod(), responseObserver);
    }

    /**
     * <pre>
     * Takes a backend server out of service without interrupting requests in progress.
     * </pre>
     */
    default void drain(org.arbutuslock.v1.DrainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.DrainResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDrainMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns a drained backend server to service.
     * </pre>
     */
    default void undrain(org.arbutuslock.v1.UndrainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.UndrainResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getUndrainMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns request rates and latencies.
     * </pre>
     */
    default void top(org.arbutuslock.v1.TopRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.TopResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTopMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Operators.
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public static abstract class OperatorsImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return OperatorsGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Operators.
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public static final class OperatorsStub
      extends io.grpc.stub.AbstractAsyncStub<OperatorsStub> {
    private OperatorsStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorsStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorsStub(channel, callOptions);
    }

    /**
     * <pre>
     * Validates one change and appends it to the change log.
     * </pre>
     */
    public void applyChange(org.arbutuslock.v1.ApplyChangeRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.ApplyChangeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getApplyChangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the outcome of a change: accepted, or not in the change log.
     * </pre>
     */
    public void getChange(org.arbutuslock.v1.GetChangeRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetChangeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetChangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists the configured entities of one kind.
     * </pre>
     */
    public void getConfiguration(org.arbutuslock.v1.GetConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetConfigurationResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetConfigurationMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists accepted changes, newest first.
     * </pre>
     */
    public void history(org.arbutuslock.v1.HistoryRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.HistoryResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHistoryMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Restores the entities of an earlier revision with a new change.
     * </pre>
     */
    public void rollback(org.arbutuslock.v1.RollbackRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.RollbackResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRollbackMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Reports how many nodes have applied a revision. The stream ends when all have applied it.
     * </pre>
     */
    public void watchRevision(org.arbutuslock.v1.WatchRevisionRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.WatchRevisionResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getWatchRevisionMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists nodes and their endpoints.
     * </pre>
     */
    public void getStatus(org.arbutuslock.v1.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetStatusResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists the recent decisions about one backend server and the measurements behind them.
     * </pre>
     */
    public void explain(org.arbutuslock.v1.ExplainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.ExplainResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExplainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Takes a backend server out of service without interrupting requests in progress.
     * </pre>
     */
    public void drain(org.arbutuslock.v1.DrainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.DrainResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns a drained backend server to service.
     * </pre>
     */
    public void undrain(org.arbutuslock.v1.UndrainRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.UndrainResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getUndrainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns request rates and latencies.
     * </pre>
     */
    public void top(org.arbutuslock.v1.TopRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.v1.TopResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTopMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Operators.
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public static final class OperatorsBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<OperatorsBlockingV2Stub> {
    private OperatorsBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorsBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorsBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Validates one change and appends it to the change log.
     * </pre>
     */
    public org.arbutuslock.v1.ApplyChangeResponse applyChange(org.arbutuslock.v1.ApplyChangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getApplyChangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the outcome of a change: accepted, or not in the change log.
     * </pre>
     */
    public org.arbutuslock.v1.GetChangeResponse getChange(org.arbutuslock.v1.GetChangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetChangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the configured entities of one kind.
     * </pre>
     */
    public org.arbutuslock.v1.GetConfigurationResponse getConfiguration(org.arbutuslock.v1.GetConfigurationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists accepted changes, newest first.
     * </pre>
     */
    public org.arbutuslock.v1.HistoryResponse history(org.arbutuslock.v1.HistoryRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHistoryMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Restores the entities of an earlier revision with a new change.
     * </pre>
     */
    public org.arbutuslock.v1.RollbackResponse rollback(org.arbutuslock.v1.RollbackRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRollbackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports how many nodes have applied a revision. The stream ends when all have applied it.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.arbutuslock.v1.WatchRevisionResponse>
        watchRevision(org.arbutuslock.v1.WatchRevisionRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getWatchRevisionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists nodes and their endpoints.
     * </pre>
     */
    public org.arbutuslock.v1.GetStatusResponse getStatus(org.arbutuslock.v1.GetStatusRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the recent decisions about one backend server and the measurements behind them.
     * </pre>
     */
    public org.arbutuslock.v1.ExplainResponse explain(org.arbutuslock.v1.ExplainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExplainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes a backend server out of service without interrupting requests in progress.
     * </pre>
     */
    public org.arbutuslock.v1.DrainResponse drain(org.arbutuslock.v1.DrainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns a drained backend server to service.
     * </pre>
     */
    public org.arbutuslock.v1.UndrainResponse undrain(org.arbutuslock.v1.UndrainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getUndrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns request rates and latencies.
     * </pre>
     */
    public org.arbutuslock.v1.TopResponse top(org.arbutuslock.v1.TopRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTopMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Operators.
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public static final class OperatorsBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<OperatorsBlockingStub> {
    private OperatorsBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorsBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorsBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Validates one change and appends it to the change log.
     * </pre>
     */
    public org.arbutuslock.v1.ApplyChangeResponse applyChange(org.arbutuslock.v1.ApplyChangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getApplyChangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the outcome of a change: accepted, or not in the change log.
     * </pre>
     */
    public org.arbutuslock.v1.GetChangeResponse getChange(org.arbutuslock.v1.GetChangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetChangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the configured entities of one kind.
     * </pre>
     */
    public org.arbutuslock.v1.GetConfigurationResponse getConfiguration(org.arbutuslock.v1.GetConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists accepted changes, newest first.
     * </pre>
     */
    public org.arbutuslock.v1.HistoryResponse history(org.arbutuslock.v1.HistoryRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHistoryMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Restores the entities of an earlier revision with a new change.
     * </pre>
     */
    public org.arbutuslock.v1.RollbackResponse rollback(org.arbutuslock.v1.RollbackRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRollbackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports how many nodes have applied a revision. The stream ends when all have applied it.
     * </pre>
     */
    public java.util.Iterator<org.arbutuslock.v1.WatchRevisionResponse> watchRevision(
        org.arbutuslock.v1.WatchRevisionRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getWatchRevisionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists nodes and their endpoints.
     * </pre>
     */
    public org.arbutuslock.v1.GetStatusResponse getStatus(org.arbutuslock.v1.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the recent decisions about one backend server and the measurements behind them.
     * </pre>
     */
    public org.arbutuslock.v1.ExplainResponse explain(org.arbutuslock.v1.ExplainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExplainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes a backend server out of service without interrupting requests in progress.
     * </pre>
     */
    public org.arbutuslock.v1.DrainResponse drain(org.arbutuslock.v1.DrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns a drained backend server to service.
     * </pre>
     */
    public org.arbutuslock.v1.UndrainResponse undrain(org.arbutuslock.v1.UndrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getUndrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns request rates and latencies.
     * </pre>
     */
    public org.arbutuslock.v1.TopResponse top(org.arbutuslock.v1.TopRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTopMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Operators.
   * <pre>
   * Served by every node. Viewers may call the methods that only read, operators all methods.
   * </pre>
   */
  public static final class OperatorsFutureStub
      extends io.grpc.stub.AbstractFutureStub<OperatorsFutureStub> {
    private OperatorsFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorsFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorsFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Validates one change and appends it to the change log.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.ApplyChangeResponse> applyChange(
        org.arbutuslock.v1.ApplyChangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getApplyChangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the outcome of a change: accepted, or not in the change log.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.GetChangeResponse> getChange(
        org.arbutuslock.v1.GetChangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetChangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists the configured entities of one kind.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.GetConfigurationResponse> getConfiguration(
        org.arbutuslock.v1.GetConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetConfigurationMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists accepted changes, newest first.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.HistoryResponse> history(
        org.arbutuslock.v1.HistoryRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHistoryMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Restores the entities of an earlier revision with a new change.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.RollbackResponse> rollback(
        org.arbutuslock.v1.RollbackRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRollbackMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists nodes and their endpoints.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.GetStatusResponse> getStatus(
        org.arbutuslock.v1.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists the recent decisions about one backend server and the measurements behind them.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.ExplainResponse> explain(
        org.arbutuslock.v1.ExplainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExplainMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Takes a backend server out of service without interrupting requests in progress.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.DrainResponse> drain(
        org.arbutuslock.v1.DrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns a drained backend server to service.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.UndrainResponse> undrain(
        org.arbutuslock.v1.UndrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getUndrainMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns request rates and latencies.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.v1.TopResponse> top(
        org.arbutuslock.v1.TopRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTopMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_APPLY_CHANGE = 0;
  private static final int METHODID_GET_CHANGE = 1;
  private static final int METHODID_GET_CONFIGURATION = 2;
  private static final int METHODID_HISTORY = 3;
  private static final int METHODID_ROLLBACK = 4;
  private static final int METHODID_WATCH_REVISION = 5;
  private static final int METHODID_GET_STATUS = 6;
  private static final int METHODID_EXPLAIN = 7;
  private static final int METHODID_DRAIN = 8;
  private static final int METHODID_UNDRAIN = 9;
  private static final int METHODID_TOP = 10;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_APPLY_CHANGE:
          serviceImpl.applyChange((org.arbutuslock.v1.ApplyChangeRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.ApplyChangeResponse>) responseObserver);
          break;
        case METHODID_GET_CHANGE:
          serviceImpl.getChange((org.arbutuslock.v1.GetChangeRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetChangeResponse>) responseObserver);
          break;
        case METHODID_GET_CONFIGURATION:
          serviceImpl.getConfiguration((org.arbutuslock.v1.GetConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetConfigurationResponse>) responseObserver);
          break;
        case METHODID_HISTORY:
          serviceImpl.history((org.arbutuslock.v1.HistoryRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.HistoryResponse>) responseObserver);
          break;
        case METHODID_ROLLBACK:
          serviceImpl.rollback((org.arbutuslock.v1.RollbackRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.RollbackResponse>) responseObserver);
          break;
        case METHODID_WATCH_REVISION:
          serviceImpl.watchRevision((org.arbutuslock.v1.WatchRevisionRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.WatchRevisionResponse>) responseObserver);
          break;
        case METHODID_GET_STATUS:
          serviceImpl.getStatus((org.arbutuslock.v1.GetStatusRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.GetStatusResponse>) responseObserver);
          break;
        case METHODID_EXPLAIN:
          serviceImpl.explain((org.arbutuslock.v1.ExplainRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.ExplainResponse>) responseObserver);
          break;
        case METHODID_DRAIN:
          serviceImpl.drain((org.arbutuslock.v1.DrainRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.DrainResponse>) responseObserver);
          break;
        case METHODID_UNDRAIN:
          serviceImpl.undrain((org.arbutuslock.v1.UndrainRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.UndrainResponse>) responseObserver);
          break;
        case METHODID_TOP:
          serviceImpl.top((org.arbutuslock.v1.TopRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.v1.TopResponse>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getApplyChangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.ApplyChangeRequest,
              org.arbutuslock.v1.ApplyChangeResponse>(
                service, METHODID_APPLY_CHANGE)))
        .addMethod(
          getGetChangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.GetChangeRequest,
              org.arbutuslock.v1.GetChangeResponse>(
                service, METHODID_GET_CHANGE)))
        .addMethod(
          getGetConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.GetConfigurationRequest,
              org.arbutuslock.v1.GetConfigurationResponse>(
                service, METHODID_GET_CONFIGURATION)))
        .addMethod(
          getHistoryMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.HistoryRequest,
              org.arbutuslock.v1.HistoryResponse>(
                service, METHODID_HISTORY)))
        .addMethod(
          getRollbackMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.RollbackRequest,
              org.arbutuslock.v1.RollbackResponse>(
                service, METHODID_ROLLBACK)))
        .addMethod(
          getWatchRevisionMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.arbutuslock.v1.WatchRevisionRequest,
              org.arbutuslock.v1.WatchRevisionResponse>(
                service, METHODID_WATCH_REVISION)))
        .addMethod(
          getGetStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.GetStatusRequest,
              org.arbutuslock.v1.GetStatusResponse>(
                service, METHODID_GET_STATUS)))
        .addMethod(
          getExplainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.ExplainRequest,
              org.arbutuslock.v1.ExplainResponse>(
                service, METHODID_EXPLAIN)))
        .addMethod(
          getDrainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.DrainRequest,
              org.arbutuslock.v1.DrainResponse>(
                service, METHODID_DRAIN)))
        .addMethod(
          getUndrainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.UndrainRequest,
              org.arbutuslock.v1.UndrainResponse>(
                service, METHODID_UNDRAIN)))
        .addMethod(
          getTopMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.v1.TopRequest,
              org.arbutuslock.v1.TopResponse>(
                service, METHODID_TOP)))
        .build();
  }

  private static abstract class OperatorsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    OperatorsBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.arbutuslock.v1.Arbutuslock.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Operators");
    }
  }

  private static final class OperatorsFileDescriptorSupplier
      extends OperatorsBaseDescriptorSupplier {
    OperatorsFileDescriptorSupplier() {}
  }

  private static final class OperatorsMethodDescriptorSupplier
      extends OperatorsBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    OperatorsMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (OperatorsGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new OperatorsFileDescriptorSupplier())
              .addMethod(getApplyChangeMethod())
              .addMethod(getGetChangeMethod())
              .addMethod(getGetConfigurationMethod())
              .addMethod(getHistoryMethod())
              .addMethod(getRollbackMethod())
              .addMethod(getWatchRevisionMethod())
              .addMethod(getGetStatusMethod())
              .addMethod(getExplainMethod())
              .addMethod(getDrainMethod())
              .addMethod(getUndrainMethod())
              .addMethod(getTopMethod())
              .build();
        }
      }
    }
    return result;
  }
}
